package org.burdocktray.process.demand;

/**
 * The requests of one service and priority. Thread safety: immutable.
 *
 * @param service the name of the service
 * @param priority the combined priority of organisation and route; the lowest value is
 * served first
 */
public record DemandClass(String service, int priority) {

}
