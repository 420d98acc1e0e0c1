/**
 * State with the lifetime of one request: its admission, route, attempts, claim and
 * response.
 */
package org.burdocktray.request;
