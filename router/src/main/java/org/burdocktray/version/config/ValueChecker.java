package org.burdocktray.version.config;

import java.math.BigDecimal;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

import org.burdocktray.model.NetworkAddress;

/**
 * Checks single values. Invariant: a placeholder is returned only after a fault is
 * recorded. Thread safety: confined to the thread that reads the file.
 */
final class ValueChecker {

	static final String ADDRESS_DESCRIPTION = "an IP address with a port, such as 10.0.0.1:8080";

	static final NetworkAddress PLACEHOLDER_ADDRESS = new NetworkAddress("127.0.0.1", 1);

	static final String PLACEHOLDER_TEXT = "";

	private final FaultCollector faults;

	ValueChecker(FaultCollector faults) {
		this.faults = faults;
	}

	String text(ConfigNode value, String path, Pattern pattern, String expected) {
		if (value instanceof ConfigNode.TextNode text && pattern.matcher(text.value()).matches()) {
			return text.value();
		}
		addFault(value, path, expected);
		return PLACEHOLDER_TEXT;
	}

	String choice(ConfigNode value, String path, List<String> words, String expected) {
		if (value instanceof ConfigNode.TextNode text && words.contains(text.value())) {
			return text.value();
		}
		addFault(value, path, expected);
		return words.get(0);
	}

	boolean flag(ConfigNode value, String path) {
		if (value instanceof ConfigNode.BooleanNode flag) {
			return flag.value();
		}
		addFault(value, path, "true or false");
		return false;
	}

	NetworkAddress address(ConfigNode value, String path) {
		Optional<NetworkAddress> address = (value instanceof ConfigNode.TextNode text)
				? NetworkAddress.parse(text.value()) : Optional.empty();
		if (address.isEmpty()) {
			addFault(value, path, ADDRESS_DESCRIPTION);
		}
		return address.orElse(PLACEHOLDER_ADDRESS);
	}

	long wholeNumber(ConfigNode value, String path, NumberRange range, String expected) {
		if (value instanceof ConfigNode.NumberNode number && range.contains(number.value())) {
			Optional<Long> longValue = toLong(number.value());
			if (longValue.isPresent()) {
				return longValue.get();
			}
		}
		addFault(value, path, expected);
		return 0;
	}

	// The range is checked after conversion to double, because a very small positive
	// number may round to 0.
	double number(ConfigNode value, String path, NumberRange range, String expected) {
		if (value instanceof ConfigNode.NumberNode number) {
			double rounded = number.value().doubleValue();
			if (Double.isFinite(rounded) && range.contains(BigDecimal.valueOf(rounded))) {
				return rounded;
			}
		}
		addFault(value, path, expected);
		return 0;
	}

	private static Optional<Long> toLong(BigDecimal number) {
		try {
			return Optional.of(number.longValueExact());
		}
		catch (ArithmeticException ex) {
			return Optional.empty();
		}
	}

	private void addFault(ConfigNode value, String path, String expected) {
		this.faults.add(value.line(), path, expected, value.describe());
	}

}
