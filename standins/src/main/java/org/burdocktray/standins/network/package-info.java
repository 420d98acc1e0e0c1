/**
 * Faults of the network between callers, gateways and the systems that they call.
 */
package org.burdocktray.standins.network;
