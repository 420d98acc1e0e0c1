/**
 * The decisions on a request that is forwarded unchanged.
 */
package org.burdocktray.request.forward;
