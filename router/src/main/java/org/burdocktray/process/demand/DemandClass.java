package org.burdocktray.process.demand;

/**
 * The requests of one service and priority. Thread safety: immutable.
 *
 * @param service the name of the service
 * @param priority the priority, 0 is the highest
 */
public record DemandClass(String service, int priority) {

}
