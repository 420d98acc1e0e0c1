/**
 * Objects with the lifetime of a connection to a caller, an upstream, a peer VM or the
 * platform.
 */
package org.burdocktray.connection;
