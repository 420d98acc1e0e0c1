/**
 * This VM's local view of the load and health of the upstreams.
 */
package org.burdocktray.process.load;
