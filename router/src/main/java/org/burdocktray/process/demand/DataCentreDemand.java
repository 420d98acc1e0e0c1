package org.burdocktray.process.demand;

import org.burdocktray.model.DataCentre;

/**
 * The demand of one data centre. Thread safety: immutable.
 *
 * @param dataCentre the data centre whose VMs see the demand
 * @param vmCount the number of VMs that have reported
 * @param demand their demand
 * @param measuredNanos the latest time at which it was added up, by this VM's monotonic
 * clock
 */
public record DataCentreDemand(DataCentre dataCentre, int vmCount, DemandReport demand, long measuredNanos) {

}
