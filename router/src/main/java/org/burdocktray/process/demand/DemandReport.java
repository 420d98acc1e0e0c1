package org.burdocktray.process.demand;

import java.util.HashMap;
import java.util.Map;

/**
 * The demand that some VMs see together. Thread safety: immutable.
 *
 * @param classes the rates by service and priority
 * @param organisationTokensPerSecond the rates of prompt and output tokens of the
 * organisations with the highest demand
 */
public record DemandReport(Map<DemandClass, ClassLoad> classes,
		Map<OrganisationShare, Double> organisationTokensPerSecond) {

	/** No demand. */
	public static final DemandReport NONE = new DemandReport(Map.of(), Map.of());

	public DemandReport {
		classes = Map.copyOf(classes);
		organisationTokensPerSecond = Map.copyOf(organisationTokensPerSecond);
	}

	/**
	 * Returns the demand for one class.
	 * @param demandClass the class
	 * @return its rates, all 0 if there is none
	 */
	public ClassLoad of(DemandClass demandClass) {
		return this.classes.getOrDefault(demandClass, ClassLoad.NONE);
	}

	/**
	 * Adds the demand that other VMs see.
	 * @param other their demand
	 * @return the sum
	 */
	public DemandReport plus(DemandReport other) {
		Map<DemandClass, ClassLoad> sums = new HashMap<>(this.classes);
		other.classes.forEach((demandClass, load) -> sums.merge(demandClass, load, ClassLoad::plus));
		Map<OrganisationShare, Double> tokens = new HashMap<>(this.organisationTokensPerSecond);
		other.organisationTokensPerSecond.forEach((share, rate) -> tokens.merge(share, rate, Double::sum));
		return new DemandReport(sums, tokens);
	}

	/**
	 * Multiplies the demand.
	 * @param factor the factor, 0 or more
	 * @return the product
	 */
	public DemandReport times(double factor) {
		Map<DemandClass, ClassLoad> products = new HashMap<>();
		this.classes.forEach((demandClass, load) -> products.put(demandClass, load.times(factor)));
		Map<OrganisationShare, Double> tokens = new HashMap<>();
		this.organisationTokensPerSecond.forEach((share, rate) -> tokens.put(share, factor * rate));
		return new DemandReport(products, tokens);
	}

}
