/**
 * Parsing of chat requests.
 */
package org.burdocktray.request.chat;
