package org.burdocktray.process.quarantine;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The runs of requests that this VM has in progress or has lost. Invariant: a lost run
 * stays until it is known what ended it. Thread safety: none.
 */
final class RunTable {

	private final Map<String, Run> runs = new LinkedHashMap<>();

	private final Set<String> lostRunIds = new LinkedHashSet<>();

	void add(String runId, RequestIdentity identity, Set<String> upstreams, long nowNanos) {
		this.runs.put(runId, new Run(identity, Set.copyOf(upstreams), nowNanos, false));
	}

	Optional<Run> remove(String runId) {
		this.lostRunIds.remove(runId);
		return Optional.ofNullable(this.runs.remove(runId));
	}

	Optional<Run> markHarmless(String runId) {
		return Optional.ofNullable(this.runs.computeIfPresent(runId, (id, run) -> run.asHarmless()));
	}

	/**
	 * Lets the parts of a prompt not be held responsible for what happens to a run from
	 * now on.
	 * @param runId the run
	 * @return the parts
	 */
	List<Fingerprint> withdrawParts(String runId) {
		Run run = this.runs.get(runId);
		if (run == null) {
			return List.of();
		}
		this.runs.put(runId, new Run(RequestIdentity.withoutParts(run.fingerprint()), run.upstreams(), run.startNanos(),
				run.harmless()));
		return run.identity().parts();
	}

	void markLost(String runId) {
		if (this.runs.containsKey(runId)) {
			this.lostRunIds.add(runId);
		}
	}

	Map<String, Run> runsOn(String upstream) {
		Map<String, Run> found = new LinkedHashMap<>(this.runs);
		found.values().removeIf((run) -> !run.upstreams().contains(upstream));
		return found;
	}

	boolean contains(Fingerprint fingerprint) {
		return this.runs.values().stream().anyMatch((run) -> run.fingerprint().equals(fingerprint));
	}

	boolean isInProgress(Fingerprint fingerprint) {
		return this.runs.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getValue().fingerprint().equals(fingerprint)
					&& !this.lostRunIds.contains(entry.getKey()));
	}

	boolean isInProgress(Predicate<RequestIdentity> condition) {
		return this.runs.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getValue().harmless() && !this.lostRunIds.contains(entry.getKey())
					&& condition.test(entry.getValue().identity()));
	}

	// Runs that were lost on the same upstreams can be lost by one crash only.
	int lostRuns(Fingerprint fingerprint) {
		return (int) this.lostRunIds.stream()
			.map(this.runs::get)
			.filter((run) -> !run.harmless() && run.fingerprint().equals(fingerprint))
			.map(Run::upstreams)
			.distinct()
			.count();
	}

	Set<String> upstreamsOf(Predicate<Fingerprint> condition) {
		return this.runs.values()
			.stream()
			.filter((run) -> condition.test(run.fingerprint()))
			.flatMap((run) -> run.upstreams().stream())
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * A run of a request. Thread safety: immutable.
	 *
	 * @param identity the request
	 * @param upstreams the upstreams on which it runs
	 * @param startNanos when it began
	 * @param harmless whether a crash of these upstreams has another reason
	 */
	record Run(RequestIdentity identity, Set<String> upstreams, long startNanos, boolean harmless) {

		Fingerprint fingerprint() {
			return this.identity.request();
		}

		private Run asHarmless() {
			return new Run(this.identity, this.upstreams, this.startNanos, true);
		}

	}

}
