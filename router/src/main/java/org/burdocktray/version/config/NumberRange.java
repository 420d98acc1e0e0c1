package org.burdocktray.version.config;

import java.math.BigDecimal;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.Locale;

/**
 * The range of numbers allowed in a field. Thread safety: immutable.
 *
 * @param min the lower bound
 * @param minIncluded whether the lower bound itself is allowed
 * @param max the upper bound, {@link Double#MAX_VALUE} for none
 * @param maxIncluded whether the upper bound itself is allowed
 */
public record NumberRange(double min, boolean minIncluded, double max, boolean maxIncluded) {

	/** All finite numbers greater than 0. */
	public static final NumberRange ABOVE_ZERO = new NumberRange(0, false, Double.MAX_VALUE, true);

	/** All numbers between 0 and 1, both excluded. */
	public static final NumberRange BETWEEN_ZERO_AND_ONE = new NumberRange(0, false, 1, false);

	/**
	 * Creates a range that includes both bounds.
	 * @param min the lower bound
	 * @param max the upper bound
	 * @return the range
	 */
	public static NumberRange of(double min, double max) {
		return new NumberRange(min, true, max, true);
	}

	boolean contains(BigDecimal number) {
		int aboveMin = number.compareTo(BigDecimal.valueOf(this.min));
		int belowMax = BigDecimal.valueOf(this.max).compareTo(number);
		return (aboveMin > 0 || (this.minIncluded && aboveMin == 0))
				&& (belowMax > 0 || (this.maxIncluded && belowMax == 0));
	}

	String describe() {
		String lower = (this.minIncluded ? "of at least " : "above ") + format(this.min);
		if (this.max == Double.MAX_VALUE) {
			return lower;
		}
		return lower + (this.maxIncluded ? " and at most " : " and below ") + format(this.max);
	}

	private static String format(double number) {
		return new DecimalFormat("0.######", DecimalFormatSymbols.getInstance(Locale.ROOT)).format(number);
	}

}
