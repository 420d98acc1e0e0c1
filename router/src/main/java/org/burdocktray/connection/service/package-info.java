/**
 * Connections to plain services.
 */
package org.burdocktray.connection.service;
