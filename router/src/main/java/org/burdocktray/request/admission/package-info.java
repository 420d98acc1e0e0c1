/**
 * Admission control: quotas and fair shares of the fleet's capacity.
 */
package org.burdocktray.request.admission;
