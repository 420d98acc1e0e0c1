package org.burdocktray.version.rules;

/**
 * One target of a route's traffic split. Thread safety: immutable.
 *
 * @param service the name of the service
 * @param weight its part of the traffic, in relation to the other weights
 */
public record WeightedService(String service, int weight) {

}
