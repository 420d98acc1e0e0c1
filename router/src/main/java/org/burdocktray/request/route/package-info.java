/**
 * Selection of the upstreams for one request.
 */
package org.burdocktray.request.route;
