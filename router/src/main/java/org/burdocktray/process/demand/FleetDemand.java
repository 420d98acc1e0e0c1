package org.burdocktray.process.demand;

import java.util.List;

/**
 * Knows the demand of the data centres as far as this VM is notified of it. Thread
 * safety: implementations are confined to one event loop.
 */
public interface FleetDemand {

	/**
	 * Returns the demand of the data centres.
	 * @param nowNanos the current time of the monotonic clock
	 * @return one entry for each data centre of which this VM has heard lately; the local
	 * one is never missing
	 */
	List<DataCentreDemand> dataCentres(long nowNanos);

	/**
	 * Returns the demand of all data centres together.
	 * @param nowNanos the current time of the monotonic clock
	 * @return the sum
	 */
	default DemandReport total(long nowNanos) {
		return dataCentres(nowNanos).stream()
			.map(DataCentreDemand::demand)
			.reduce(DemandReport.NONE, DemandReport::plus);
	}

}
