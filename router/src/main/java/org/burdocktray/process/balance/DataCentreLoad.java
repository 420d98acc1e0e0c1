package org.burdocktray.process.balance;

import java.util.Locale;

import org.burdocktray.model.DataCentre;

/**
 * The demand for one service in a data centre, and what its engines bear. Thread safety:
 * immutable.
 *
 * @param dataCentre the data centre
 * @param demandPerSecond the requests per second expected one second ahead, in typical
 * requests for engines and in calls for plain services
 * @param capacityPerSecond what its replicas bear, in the same unit
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
