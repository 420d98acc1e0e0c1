/**
 * Connections to model engines.
 */
package org.burdocktray.connection.engine;
