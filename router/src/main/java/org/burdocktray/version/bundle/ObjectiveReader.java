package org.burdocktray.version.bundle;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.burdocktray.version.config.ConfigEntry;
import org.burdocktray.version.config.ConfigObject;
import org.burdocktray.version.config.NumberRange;

/**
 * Reads service-level objectives. Thread safety: stateless.
 */
final class ObjectiveReader {

	private static final List<String> KINDS = Arrays.stream(Objective.Kind.values()).map(Enum::name).toList();

	private static final NumberRange THRESHOLD_MILLIS = NumberRange.of(0, 3_600_000);

	private static final NumberRange WINDOW_HOURS = NumberRange.of(1, 8_784);

	private static final long DEFAULT_WINDOW_HOURS = 720;

	private ObjectiveReader() {
	}

	static List<Objective> read(ConfigObject parent, String field) {
		List<ConfigEntry<Objective>> entries = parent.entries(field, false, ObjectiveReader::readObjective);
		UniqueFields.check(entries, "name");
		entries.forEach((entry) -> entry.value().ifPresent((objective) -> checkThreshold(entry.source(), objective)));
		return entries.stream().map(ConfigEntry::value).flatMap(Optional::stream).toList();
	}

	private static Objective readObjective(ConfigObject object) {
		return new Objective(object.name("name"), Objective.Kind.valueOf(object.choice("kind", KINDS)),
				object.number("target", NumberRange.BETWEEN_ZERO_AND_ONE),
				object.wholeNumber("thresholdMillis", THRESHOLD_MILLIS, 0),
				object.wholeNumber("windowHours", WINDOW_HOURS, DEFAULT_WINDOW_HOURS));
	}

	private static void checkThreshold(ConfigObject source, Objective objective) {
		boolean isLatency = objective.kind() != Objective.Kind.AVAILABILITY;
		if (isLatency && objective.thresholdMillis() == 0) {
			source.addFault("thresholdMillis", "a limit above 0 for a latency objective", "0 or no such field");
		}
		if (!isLatency && objective.thresholdMillis() != 0) {
			source.addFault("thresholdMillis", "0 or no such field for availability",
					String.valueOf(objective.thresholdMillis()));
		}
	}

}
