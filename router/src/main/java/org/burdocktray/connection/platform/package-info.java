/**
 * Client of the platform's object API.
 */
package org.burdocktray.connection.platform;
