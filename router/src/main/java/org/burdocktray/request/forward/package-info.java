/**
 * Decisions on requests that are forwarded unchanged: attempts, retries and the order of
 * waiting requests.
 */
package org.burdocktray.request.forward;
