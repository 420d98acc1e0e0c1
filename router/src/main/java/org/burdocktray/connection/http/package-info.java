/**
 * What all HTTP connections to other processes have in common.
 */
package org.burdocktray.connection.http;
