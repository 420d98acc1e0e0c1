/**
 * Authentication of the senders of requests.
 */
package org.burdocktray.request.auth;
