package org.burdocktray.version.rules;

/**
 * One target of a route's traffic split. Thread safety: immutable.
 *
 * @param service the name of the service
 * @param weight its share of the traffic, relative to the sum of all weights
 */
public record WeightedService(String service, int weight) {

}
