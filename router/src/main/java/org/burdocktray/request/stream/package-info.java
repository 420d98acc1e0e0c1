/**
 * The lifecycle of one model response: its attempts, the replacement of failed stages and
 * the delivered tokens.
 */
package org.burdocktray.request.stream;
