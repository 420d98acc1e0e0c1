/**
 * What happens to one request while the demand exceeds what the fleet can serve.
 */
package org.burdocktray.request.overload;
