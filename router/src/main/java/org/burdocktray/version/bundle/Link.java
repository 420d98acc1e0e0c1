package org.burdocktray.version.bundle;

import org.burdocktray.model.DataCentre;

/**
 * A directed link between two data centres, or within one data centre if both are equal.
 * Thread safety: immutable.
 *
 * @param from the sending data centre
 * @param to the receiving data centre
 * @param bytesPerSecond the bandwidth of the link
 * @param oneWayMicros the one-way delay
 */
public record Link(DataCentre from, DataCentre to, long bytesPerSecond, long oneWayMicros) {

}
