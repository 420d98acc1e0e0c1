package org.burdocktray.process.quarantine;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * Changes the evidence against suspects, and puts the entries that have changed into the
 * outbox. Invariant: dismissed evidence stays dismissed. Thread safety: none, guarded by
 * the lock of {@link Quarantine}.
 */
final class SuspectEvidence {

	/**
	 * The time within which the VM that has lost a run of a request begins the next one.
	 */
	private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final QuarantineSettings settings;

	private final String vmName;

	private final SuspectTable suspects;

	private final PartQuarantine partQuarantine;

	private final EntryOutbox outbox;

	SuspectEvidence(QuarantineSettings settings, String vmName, SuspectTable suspects, PartQuarantine partQuarantine,
			EntryOutbox outbox) {
		this.settings = settings;
		this.vmName = vmName;
		this.suspects = suspects;
		this.partQuarantine = partQuarantine;
		this.outbox = outbox;
	}

	/**
	 * Dismisses evidence against all suspects.
	 * @param condition which evidence
	 * @param nowNanos the time
	 * @return the number of runs that are cleared
	 */
	int dismiss(Predicate<CrashEvidence> condition, long nowNanos) {
		AtomicInteger dismissed = new AtomicInteger();
		this.suspects
			.forEach((fingerprint, suspect) -> dismissed.addAndGet(dismiss(fingerprint, suspect, condition, nowNanos)));
		return dismissed.get();
	}

	/**
	 * Dismisses evidence against one suspect.
	 * @param fingerprint the request or part of a prompt
	 * @param suspect its entry
	 * @param condition which evidence
	 * @param nowNanos the time
	 * @return the number of runs that are cleared
	 */
	int dismiss(Fingerprint fingerprint, Suspect suspect, Predicate<CrashEvidence> condition, long nowNanos) {
		int dismissed = suspect.update(condition, EvidenceState.DISMISSED);
		if (dismissed > 0) {
			suspect.markUnsent();
			this.partQuarantine.onEvidenceChange();
			this.outbox.addToGossip(fingerprint);
			if (suspect.isStored()) {
				this.outbox.addToStore(fingerprint, nowNanos);
			}
		}
		return dismissed;
	}

	/**
	 * Adds evidence.
	 * @param fingerprint the request or part of a prompt
	 * @param crash the evidence
	 * @param nowNanos the time
	 * @return whether it was not known yet
	 */
	boolean add(Fingerprint fingerprint, CrashEvidence crash, long nowNanos) {
		Suspect suspect = this.suspects.findOrAdd(fingerprint, nowNanos);
		boolean isNew = !(fingerprint.isPart() && suspect.hasEnoughOf(crash)) && suspect.add(crash);
		if (isNew) {
			suspect.markUnsent();
		}
		extend(suspect, nowNanos);
		if (fingerprint.isPart()) {
			this.outbox.addToGossip(fingerprint);
			markForStore(fingerprint, suspect, nowNanos);
		}
		else {
			announceRun(fingerprint, suspect, nowNanos);
		}
		return isNew;
	}

	/**
	 * Confirms provisional evidence against all suspects. The entries of requests that
	 * are quarantined by it are kept for longer, and written at once.
	 * @param condition which evidence
	 * @param nowNanos the time
	 * @return the number of runs
	 */
	int confirm(Predicate<CrashEvidence> condition, long nowNanos) {
		AtomicInteger confirmed = new AtomicInteger();
		this.suspects
			.forEach((fingerprint, suspect) -> confirmed.addAndGet(confirm(fingerprint, suspect, condition, nowNanos)));
		return confirmed.get();
	}

	/**
	 * Confirms provisional evidence against one suspect.
	 * @param fingerprint the request or part of a prompt
	 * @param suspect its entry
	 * @param condition which evidence
	 * @param nowNanos the time
	 * @return the number of runs
	 */
	int confirm(Fingerprint fingerprint, Suspect suspect, Predicate<CrashEvidence> condition, long nowNanos) {
		int confirmed = suspect.update((crash) -> crash.isProvisional() && condition.test(crash),
				EvidenceState.CONFIRMED);
		if (confirmed > 0) {
			suspect.markUnsent();
			this.partQuarantine.onEvidenceChange();
			extend(suspect, nowNanos);
			this.outbox.addToGossip(fingerprint);
			markForStore(fingerprint, suspect, nowNanos);
		}
		return confirmed;
	}

	/**
	 * Keeps an entry for as long as its state asks for, from now on.
	 * @param suspect the entry
	 * @param nowNanos the time
	 */
	void extend(Suspect suspect, long nowNanos) {
		boolean quarantined = suspect.isQuarantined();
		suspect.extendTo(nowNanos + (quarantined ? this.settings.quarantineNanos() : this.settings.suspicionNanos()));
	}

	/**
	 * Records that this VM runs a suspect.
	 * @param fingerprint the request
	 * @param suspect its entry
	 * @param nowNanos the time
	 */
	void announceRun(Fingerprint fingerprint, Suspect suspect, long nowNanos) {
		suspect.setRunning(this.vmName, nowNanos + this.settings.maxRunNanos());
		this.outbox.addToGossip(fingerprint);
		markForStore(fingerprint, suspect, nowNanos);
	}

	/**
	 * Puts an entry into the outbox for the store, if this VM has observed one of its
	 * crashes: otherwise all VMs that receive the entry would store it.
	 * @param fingerprint the request or part of a prompt
	 * @param suspect its entry
	 * @param nowNanos the time
	 */
	void markForStore(Fingerprint fingerprint, Suspect suspect, long nowNanos) {
		if (this.outbox.isWorthStoring(fingerprint) && suspect.crashes().stream().anyMatch(this::isOwnRun)) {
			this.outbox.addToStore(fingerprint, nowNanos + (suspect.isHeldBack() ? 0 : RETRY_NANOS));
		}
	}

	/**
	 * Returns whether this VM has observed a crash.
	 * @param crash the evidence
	 * @return false for evidence of other VMs
	 */
	boolean isOwnRun(CrashEvidence crash) {
		return crash.runId().startsWith(this.vmName + '#');
	}

}
