package org.burdocktray.process.quarantine;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The evidence against one request and its current run. Invariant: merging is
 * commutative, associative and idempotent: the set of crashes only grows, and of the
 * states of one crash the prevailing one stays; a dismissal is never revoked. Only
 * confirmed crashes quarantine the request. Thread safety: not thread-safe.
 */
final class Suspect {

	// Further crashes do not change the decision.
	private static final int MAX_CRASHES = 32;

	/** Two runs show whether they were of one request. */
	private static final int MAX_EVIDENCE_OF_ONE_CRASH = 2;

	private final Map<String, CrashEvidence> crashes = new TreeMap<>();

	private final ConvictionRule rule;

	private String runningVm = "";

	private long runningUntilNanos;

	private long runningRevision;

	private long expiresAtNanos;

	private boolean stored;

	private boolean unsent;

	Suspect(long nowNanos) {
		this(new WholeRequestRule(), nowNanos);
	}

	Suspect(ConvictionRule rule, long nowNanos) {
		this.rule = rule;
		this.expiresAtNanos = nowNanos;
	}

	boolean add(CrashEvidence received) {
		CrashEvidence current = this.crashes.get(received.id());
		if (current == null && this.crashes.size() >= MAX_CRASHES) {
			return false;
		}
		CrashEvidence merged = (current != null) ? current.merge(received.state()) : received;
		return this.crashes.put(received.id(), merged) != merged;
	}

	/**
	 * Merges a state into those crashes that meet a condition.
	 * @param condition the condition
	 * @param state the state
	 * @return the number of crashes whose state has changed
	 */
	int update(Predicate<CrashEvidence> condition, EvidenceState state) {
		List<CrashEvidence> changed = this.crashes.values()
			.stream()
			.filter((crash) -> crash.merge(state) != crash && condition.test(crash))
			.toList();
		changed.forEach((crash) -> this.crashes.put(crash.id(), crash.merge(state)));
		return changed.size();
	}

	List<CrashEvidence> crashes() {
		return List.copyOf(this.crashes.values());
	}

	/**
	 * Returns crashes that are independent of each other, also provisional ones.
	 * @return the crashes that the request is not cleared of
	 */
	List<CrashEvidence> countedCrashes() {
		return CrashEvidence.independent(select((crash) -> !crash.isDismissed()));
	}

	/**
	 * Returns crashes that meet a condition.
	 * @param condition the condition
	 * @return the crashes
	 */
	List<CrashEvidence> select(Predicate<CrashEvidence> condition) {
		return this.crashes.values().stream().filter(condition).toList();
	}

	boolean isSuspected() {
		return this.crashes.values().stream().anyMatch((crash) -> !crash.isDismissed());
	}

	boolean isQuarantined() {
		return this.rule.isConvicting(select(CrashEvidence::isConfirmed));
	}

	/**
	 * Returns whether the request is quarantined, or would be if its provisional crashes
	 * were confirmed.
	 * @return true if it must not run now
	 */
	boolean isHeldBack() {
		return isQuarantined() || this.rule.isConvicting(select((crash) -> !crash.isDismissed()));
	}

	/**
	 * Returns whether the store or other VMs may have an entry of this request.
	 * @return true if it was read, or taken to be written or sent
	 */
	boolean isStored() {
		return this.stored;
	}

	void markStored() {
		this.stored = true;
	}

	/**
	 * Returns whether this VM has changed the evidence since it last told the others.
	 * @return false also if all changes came from other VMs
	 */
	boolean isUnsent() {
		return this.unsent;
	}

	void markUnsent() {
		this.unsent = true;
	}

	void markSent() {
		this.unsent = false;
	}

	/**
	 * Returns whether there are enough crashes to look closer.
	 * @return false for most suspects
	 */
	boolean mayBeConvicted() {
		return this.crashes.size() >= this.rule.minCrashes();
	}

	/**
	 * Returns whether further evidence of a crash can't change a decision.
	 * @param crash the crash
	 * @return true if enough evidence of this crash is known
	 */
	boolean hasEnoughOf(CrashEvidence crash) {
		return this.crashes.values()
			.stream()
			.filter((known) -> !known.isDismissed() && known.isSameCrash(crash))
			.count() >= MAX_EVIDENCE_OF_ONE_CRASH;
	}

	double score() {
		return countedCrashes().stream().mapToDouble(CrashEvidence::suspicion).sum();
	}

	void setRunning(String vm, long untilNanos) {
		this.runningVm = vm;
		this.runningUntilNanos = untilNanos;
		this.runningRevision++;
	}

	boolean mergeRunning(String vm, long untilNanos, long revision) {
		boolean newer = revision > this.runningRevision
				|| (revision == this.runningRevision && vm.compareTo(this.runningVm) > 0);
		if (newer) {
			this.runningVm = vm;
			this.runningUntilNanos = untilNanos;
			this.runningRevision = revision;
		}
		return newer;
	}

	boolean isRunning(long nowNanos) {
		return !this.runningVm.isEmpty() && this.runningUntilNanos - nowNanos > 0;
	}

	String runningVm() {
		return this.runningVm;
	}

	long runningUntilNanos() {
		return this.runningUntilNanos;
	}

	long runningRevision() {
		return this.runningRevision;
	}

	long expiresAtNanos() {
		return this.expiresAtNanos;
	}

	void extendTo(long untilNanos) {
		if (untilNanos - this.expiresAtNanos > 0) {
			this.expiresAtNanos = untilNanos;
		}
	}

}
