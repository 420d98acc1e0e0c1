/**
 * Routing data computed once per bundle version.
 */
package org.burdocktray.version.routing;
