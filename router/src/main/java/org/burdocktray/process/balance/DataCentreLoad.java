package org.burdocktray.process.balance;

import java.util.Locale;

import org.burdocktray.model.DataCentre;

/**
 * The demand for one service in a data centre, and what its engines bear. Thread safety:
 * immutable.
 *
 * @param dataCentre the data centre
 * @param demandPerSecond the typical requests per second that its VMs are about to get
 * @param capacityPerSecond the typical requests per second that its engines bear
 * @param share its share in the requests of this VM's data centre
 */
public record DataCentreLoad(DataCentre dataCentre, double demandPerSecond, double capacityPerSecond, double share) {

	/**
	 * Returns the load for a log line.
	 * @return for example {@code ghent:share=0.62:demand=31.0:capacity=24.5}
	 */
	public String describe() {
		return String.format(Locale.ROOT, "%s:share=%.2f:demand=%.1f:capacity=%.1f", this.dataCentre, this.share,
				this.demandPerSecond, this.capacityPerSecond);
	}

}
