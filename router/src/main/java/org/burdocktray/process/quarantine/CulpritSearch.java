package org.burdocktray.process.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Finds out which parts of prompts explain crashes. Where parts come together, the
 * crashes of one are also in the record of the others. A request is blamed only if the
 * parts that it does not have can't explain the crashes of those that it has, so that a
 * sound part is not refused for its company. Thread safety: immutable.
 */
final class CulpritSearch {

	/** The parts whose crashes are no coincidence, with these crashes. */
	private final Map<Fingerprint, List<CrashEvidence>> candidates = new HashMap<>();

	private final ConvictionRule rule = new PromptPartRule();

	/**
	 * Creates the search.
	 * @param suspects the suspects, of which only parts are considered
	 * @param counts which evidence counts
	 * @param nowNanos the time
	 */
	CulpritSearch(SuspectTable suspects, Predicate<CrashEvidence> counts, long nowNanos) {
		suspects.forEachPart((part, suspect) -> {
			if (!suspect.mayBeConvicted() || suspect.expiresAtNanos() - nowNanos <= 0) {
				return;
			}
			List<CrashEvidence> crashes = suspect.select(counts);
			if (this.rule.isConvicting(crashes)) {
				this.candidates.put(part, crashes);
			}
		});
	}

	/**
	 * Returns whether a request with these parts must not run.
	 * @param parts the parts
	 * @return false if other parts may have caused all crashes
	 */
	boolean isBlamed(Collection<Fingerprint> parts) {
		return parts.stream().filter(this.candidates::containsKey).anyMatch((part) -> isBlamed(part, parts));
	}

	boolean isCandidate(Fingerprint part) {
		return this.candidates.containsKey(part);
	}

	/**
	 * Returns whether a part that would be blamed by itself explains a crash.
	 * @param crash the crash
	 * @return true if nothing else needs to be held responsible for it
	 */
	boolean explains(CrashEvidence crash) {
		return this.candidates.entrySet()
			.stream()
			.filter((entry) -> covers(entry.getValue(), crash))
			.anyMatch((entry) -> isBlamed(entry.getKey(), List.of(entry.getKey())));
	}

	private boolean isBlamed(Fingerprint part, Collection<Fingerprint> parts) {
		List<CrashEvidence> crashes = this.candidates.get(part);
		boolean hasBegunWell = hasBegunWell(crashes);
		List<List<CrashEvidence>> others = this.candidates.entrySet()
			.stream()
			.filter((entry) -> !parts.contains(entry.getKey()))
			.map(Map.Entry::getValue)
			.filter((other) -> hasBegunWell || !hasBegunWell(other))
			.filter((other) -> !isEqual(other, crashes) || isAlwaysTogether(other, crashes))
			.toList();
		List<CrashEvidence> unexplained = crashes.stream().filter((crash) -> !isCovered(crash, others)).toList();
		return hasBegunWell ? this.rule.isConvicting(unexplained) : !unexplained.isEmpty();
	}

	// Parts of different requests that were in the same crashes: any of them, or all.
	private static boolean isEqual(List<CrashEvidence> other, List<CrashEvidence> crashes) {
		return crashes.stream().allMatch((crash) -> covers(other, crash))
				&& other.stream().allMatch((crash) -> covers(crashes, crash));
	}

	// Parts of the same requests: a request with one of them tells which it is.
	private static boolean isAlwaysTogether(List<CrashEvidence> other, List<CrashEvidence> crashes) {
		return runIds(other).equals(runIds(crashes));
	}

	private static Set<String> runIds(List<CrashEvidence> crashes) {
		return crashes.stream().map(CrashEvidence::runId).collect(Collectors.toSet());
	}

	private static boolean hasBegunWell(List<CrashEvidence> crashes) {
		return crashes.stream().anyMatch((crash) -> crash.run().begunWellBefore());
	}

	private static boolean isCovered(CrashEvidence crash, List<List<CrashEvidence>> others) {
		return others.stream().anyMatch((other) -> covers(other, crash));
	}

	private static boolean covers(List<CrashEvidence> crashes, CrashEvidence crash) {
		return crashes.stream().anyMatch(crash::isSameCrash);
	}

}
