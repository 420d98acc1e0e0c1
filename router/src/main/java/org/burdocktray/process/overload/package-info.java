/**
 * What the fleet can serve, and which priorities it admits while the demand exceeds that.
 */
package org.burdocktray.process.overload;
