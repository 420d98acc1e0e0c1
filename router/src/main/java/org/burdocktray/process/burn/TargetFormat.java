package org.burdocktray.process.burn;

import java.math.BigDecimal;

import org.burdocktray.version.bundle.Objective;

/**
 * Formats the targets of objectives. Thread safety: stateless.
 */
final class TargetFormat {

	private static final int PERCENT_DIGITS = 2;

	private TargetFormat() {
	}

	static String formatPercent(Objective objective) {
		return BigDecimal.valueOf(objective.target())
			.movePointRight(PERCENT_DIGITS)
			.stripTrailingZeros()
			.toPlainString();
	}

}
