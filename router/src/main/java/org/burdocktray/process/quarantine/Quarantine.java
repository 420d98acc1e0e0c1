package org.burdocktray.process.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.burdocktray.process.membership.GossipItem;
import org.burdocktray.process.membership.GossipTopic;

/**
 * Detects requests that crash upstreams. When an upstream crashes, all requests that it
 * was running become suspects, except those that had run on it long enough to be
 * harmless. A suspect has one run at a time across all VMs that can reach each other, on
 * upstreams that do not run another suspect. A successful run clears it; a second,
 * independent crash quarantines it. While it is being found out whether upstreams have
 * crashed under runs, no run of the request begins that could be one too many. The same
 * holds while upstreams are silent that ran it: silence is provisional evidence, which
 * suspects the request and holds it back like a crash, but quarantines it only once it is
 * confirmed.
 *
 * Invariants: a crash of an upstream and a run are each counted once, regardless of how
 * many VMs report them; the number of entries is limited, and when the limit is exceeded
 * the entries with the least suspicion are evicted. Thread safety: all methods are
 * synchronized and do not block otherwise.
 */
public final class Quarantine implements GossipTopic {

	/** How long it takes at most to find out whether an upstream has crashed. */
	private static final long LOSS_CHECK_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The time within which the VM that has lost a run of a request begins the next one.
	 */
	private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * The age from which provisional evidence counts as confirmed, unless it has been
	 * dismissed. Longer than a VM takes to decide, so that only evidence of a VM that has
	 * ended, or that is cut off, gets this old.
	 */
	public static final long UNDECIDED_MILLIS = 5_000;

	private final QuarantineSettings settings;

	private final String vmName;

	private final Map<Fingerprint, Suspect> suspects = new LinkedHashMap<>();

	private final RunTable runs = new RunTable();

	private final Set<Fingerprint> changedEntries = new LinkedHashSet<>();

	/** The times from which entries may be written. */
	private final Map<Fingerprint, Long> entriesToStore = new LinkedHashMap<>();

	private long lastRun;

	/**
	 * Creates an empty quarantine.
	 * @param settings the limits
	 * @param vmName the unique name of this process, different for each start
	 */
	public Quarantine(QuarantineSettings settings, String vmName) {
		this.settings = settings;
		this.vmName = vmName;
	}

	/**
	 * Decides whether a request may run.
	 * @param fingerprint the request
	 * @param nowNanos the time
	 * @return the decision
	 */
	public synchronized QuarantineDecision check(Fingerprint fingerprint, long nowNanos) {
		confirmOverdue(fingerprint, nowNanos);
		Suspect suspect = this.suspects.get(fingerprint);
		boolean isSuspected = suspect != null && suspect.isSuspected() && suspect.expiresAtNanos() - nowNanos > 0;
		if (isSuspected && suspect.isQuarantined()) {
			return new QuarantineDecision.Refuse(suspect.expiresAtNanos());
		}
		int knownCrashes = isSuspected ? suspect.countedCrashes().size() : 0;
		if (knownCrashes + this.runs.lostRuns(fingerprint) >= Suspect.CRASHES_TO_QUARANTINE) {
			return new QuarantineDecision.Wait(nowNanos + LOSS_CHECK_NANOS);
		}
		if (!isSuspected) {
			return new QuarantineDecision.Run();
		}
		if (suspect.isRunning(nowNanos)) {
			return new QuarantineDecision.Wait(suspect.runningUntilNanos());
		}
		return new QuarantineDecision.RunAlone(upstreamsOfSuspects());
	}

	/**
	 * Records the start of a run. Must be called before the first byte of the request is
	 * sent.
	 * @param fingerprint the request
	 * @param upstreams the upstreams of its route
	 * @param nowNanos the time
	 * @return the id of the run
	 */
	public synchronized String recordStart(Fingerprint fingerprint, Set<String> upstreams, long nowNanos) {
		String runId = this.vmName + '#' + ++this.lastRun;
		this.runs.add(runId, fingerprint, upstreams);
		Suspect suspect = this.suspects.get(fingerprint);
		if (suspect != null && suspect.isSuspected()) {
			announceRun(fingerprint, suspect, nowNanos);
		}
		return runId;
	}

	/**
	 * Records that a run has gone on for so long after the beginning of its response that
	 * a crash from now on has another reason. Clears the request like a success.
	 * @param runId the run
	 * @param nowNanos the time
	 */
	public synchronized void recordHarmless(String runId, long nowNanos) {
		this.runs.markHarmless(runId).ifPresent((run) -> clear(run.fingerprint(), nowNanos));
	}

	/**
	 * Records that the connection of a run is lost, and that it is being found out
	 * whether an upstream has crashed. {@link #recordEnd} must follow when that is known.
	 * @param runId the run
	 */
	public synchronized void recordLoss(String runId) {
		this.runs.markLost(runId);
	}

	/**
	 * Records the end of a run. Must be called after {@link #recordCrash} if an upstream
	 * crashed.
	 * @param runId the run
	 * @param outcome how it ended
	 * @param nowNanos the time
	 */
	public synchronized void recordEnd(String runId, RunOutcome outcome, long nowNanos) {
		Optional<Fingerprint> ended = this.runs.remove(runId).map(RunTable.Run::fingerprint);
		Suspect suspect = ended.map(this.suspects::get).orElse(null);
		if (suspect == null) {
			return;
		}
		Fingerprint fingerprint = ended.get();
		if (outcome == RunOutcome.SUCCEEDED) {
			clear(fingerprint, nowNanos);
		}
		boolean announced = suspect.runningVm().equals(this.vmName) && !this.runs.contains(fingerprint);
		if (announced) {
			suspect.setRunning("", 0);
			markForGossip(fingerprint);
		}
	}

	// Clears quarantined requests too: a run that succeeds shows that the crashes had
	// other reasons.
	private void clear(Fingerprint fingerprint, long nowNanos) {
		Suspect suspect = this.suspects.get(fingerprint);
		if (suspect == null || suspect.update((crash) -> true, EvidenceState.DISMISSED) == 0) {
			return;
		}
		markDismissal(fingerprint, suspect, nowNanos);
	}

	private void markDismissal(Fingerprint fingerprint, Suspect suspect, long nowNanos) {
		markForGossip(fingerprint);
		if (suspect.isStored()) {
			this.entriesToStore.put(fingerprint, nowNanos);
		}
	}

	/**
	 * Records the crash of an upstream, such as the loss of a connection with a request
	 * in progress. Confirms all silences of the upstream. The requests of all runs of
	 * this VM on the upstream become suspects. Requests whose connections an upstream
	 * refuses are not evidence of a crash.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 * @return the number of runs against which the crash was not known yet
	 */
	public synchronized int recordCrash(String upstream, long nowNanos) {
		return confirm((crash) -> crash.upstream().equals(upstream), nowNanos)
				+ addEvidence(upstream, EvidenceState.CONFIRMED, nowNanos);
	}

	/**
	 * Records that an upstream is silent with requests in progress, as one that has
	 * crashed or one that will go on. Affects the requests like a crash, except that it
	 * does not quarantine them. {@link #recordCrash} or {@link #recordResponse} must
	 * follow when it is known which; else the silence counts as a crash after
	 * {@value #UNDECIDED_MILLIS} ms.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 * @return the number of runs against which the silence was not known yet
	 */
	public synchronized int recordSilence(String upstream, long nowNanos) {
		return addEvidence(upstream, EvidenceState.PROVISIONAL, nowNanos);
	}

	/**
	 * Records that an upstream which was silent has responded, so that it has not
	 * crashed.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 * @return the number of runs that are cleared of the silence
	 */
	public synchronized int recordResponse(String upstream, long nowNanos) {
		int dismissed = 0;
		for (Map.Entry<Fingerprint, Suspect> entry : this.suspects.entrySet()) {
			int changes = entry.getValue()
				.update((crash) -> crash.isProvisional() && crash.upstream().equals(upstream), EvidenceState.DISMISSED);
			if (changes > 0) {
				markDismissal(entry.getKey(), entry.getValue(), nowNanos);
			}
			dismissed += changes;
		}
		return dismissed;
	}

	private int addEvidence(String upstream, EvidenceState state, long nowNanos) {
		Map<String, RunTable.Run> affected = this.runs.runsOn(upstream);
		int sharedBy = affected.size();
		affected.values().removeIf(RunTable.Run::harmless);
		int newEvidence = 0;
		for (Map.Entry<String, RunTable.Run> entry : affected.entrySet()) {
			Fingerprint fingerprint = entry.getValue().fingerprint();
			Suspect suspect = this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspect(nowNanos));
			if (suspect.add(new CrashEvidence(entry.getKey(), upstream, nowNanos, sharedBy, state))) {
				newEvidence++;
			}
			extend(suspect, nowNanos);
			announceRun(fingerprint, suspect, nowNanos);
		}
		evict(nowNanos);
		return newEvidence;
	}

	// The entries of requests that have become quarantined by it are kept for longer, and
	// written at once.
	private int confirm(Predicate<CrashEvidence> condition, long nowNanos) {
		int confirmed = 0;
		for (Map.Entry<Fingerprint, Suspect> entry : this.suspects.entrySet()) {
			confirmed += confirm(entry.getKey(), entry.getValue(), condition, nowNanos);
		}
		return confirmed;
	}

	private int confirm(Fingerprint fingerprint, Suspect suspect, Predicate<CrashEvidence> condition, long nowNanos) {
		int confirmed = suspect.update((crash) -> crash.isProvisional() && condition.test(crash),
				EvidenceState.CONFIRMED);
		if (confirmed > 0) {
			extend(suspect, nowNanos);
			markForGossip(fingerprint);
			markForStore(fingerprint, suspect, nowNanos);
		}
		return confirmed;
	}

	private void confirmOverdue(Fingerprint fingerprint, long nowNanos) {
		Suspect suspect = this.suspects.get(fingerprint);
		if (suspect != null && suspect.expiresAtNanos() - nowNanos > 0) {
			confirm(fingerprint, suspect, (crash) -> crash.isOverdue(nowNanos), nowNanos);
		}
	}

	@Override
	public synchronized List<GossipItem> merge(Gossip gossip, long nowNanos) {
		List<Fingerprint> changes = new ArrayList<>();
		gossip.getQuarantineList()
			.stream()
			.filter((entry) -> merge(entry, nowNanos))
			.forEach((entry) -> changes.add(QuarantineCodec.fingerprint(entry)));
		evict(nowNanos);
		return items(changes, nowNanos);
	}

	@Override
	public synchronized Gossip table(long nowNanos) {
		removeExpired(nowNanos);
		Gossip.Builder table = Gossip.newBuilder();
		this.suspects.forEach(
				(fingerprint, suspect) -> table.addQuarantine(QuarantineCodec.encode(fingerprint, suspect, nowNanos)));
		return table.build();
	}

	@Override
	public synchronized List<GossipItem> takeLocalChanges(long nowNanos) {
		List<GossipItem> items = items(this.changedEntries, nowNanos);
		this.changedEntries.clear();
		return items;
	}

	/**
	 * Returns entries that were changed on this VM and are to be written to the
	 * platform's store, those with most crashes first. A suspect that this VM is running
	 * is left for a later call, since it will soon be cleared or quarantined.
	 * @param limit the maximum number of entries
	 * @param nowNanos the time
	 * @return the entries
	 */
	public synchronized List<QuarantineEntry> takeEntriesToStore(int limit, long nowNanos) {
		this.entriesToStore.keySet().retainAll(this.suspects.keySet());
		this.entriesToStore.keySet().removeIf((fingerprint) -> !isWorthStoring(this.suspects.get(fingerprint)));
		List<Fingerprint> taken = this.entriesToStore.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() - nowNanos <= 0)
			.map(Map.Entry::getKey)
			.filter(this::isSettled)
			.sorted(Comparator
				.comparingInt((Fingerprint fingerprint) -> this.suspects.get(fingerprint).countedCrashes().size())
				.reversed())
			.limit(limit)
			.toList();
		taken.forEach(this.entriesToStore::remove);
		return taken.stream().map((fingerprint) -> {
			Suspect suspect = this.suspects.get(fingerprint);
			suspect.markStored();
			return QuarantineCodec.encodeEvidence(fingerprint, suspect, nowNanos);
		}).toList();
	}

	/**
	 * Returns an entry to those that are to be written, after its write has failed.
	 * @param fingerprint the request
	 * @param nowNanos the time
	 */
	synchronized void returnEntryToStore(Fingerprint fingerprint, long nowNanos) {
		this.entriesToStore.put(fingerprint, nowNanos);
	}

	/**
	 * Records that this VM has ended a request and will not run it again, so that its
	 * entry is stored at once.
	 * @param fingerprint the request
	 * @param nowNanos the time
	 */
	public synchronized void recordGivenUp(Fingerprint fingerprint, long nowNanos) {
		this.entriesToStore.computeIfPresent(fingerprint, (key, dueNanos) -> nowNanos);
	}

	/**
	 * Returns the present entry of a request.
	 * @param fingerprint the request
	 * @param nowNanos the time
	 * @return the entry, empty if there is none any more
	 */
	synchronized Optional<QuarantineEntry> entry(Fingerprint fingerprint, long nowNanos) {
		return Optional.ofNullable(this.suspects.get(fingerprint))
			.map((suspect) -> QuarantineCodec.encodeEvidence(fingerprint, suspect, nowNanos));
	}

	private boolean merge(QuarantineEntry entry, long nowNanos) {
		if (entry.getExpiresInMillis() == 0) {
			return false;
		}
		Fingerprint fingerprint = QuarantineCodec.fingerprint(entry);
		Suspect received = new Suspect(nowNanos);
		entry.getCrashesList().forEach((crash) -> received.add(QuarantineCodec.crash(crash, nowNanos)));
		Suspect suspect = this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspect(nowNanos));
		boolean quarantinedBefore = suspect.isQuarantined();
		boolean changed = suspect.mergeRunning(entry.getRunningVm(),
				nowNanos + QuarantineCodec.nanos(entry.getRunningForMillis()), entry.getRunningRevision());
		for (CrashEvidence crash : received.crashes()) {
			changed |= suspect.add(crash);
		}
		suspect.extendTo(nowNanos + QuarantineCodec.nanos(entry.getExpiresInMillis()));
		// Only new evidence extends an entry. If receiving it by gossip did, it would
		// never expire.
		if (suspect.isQuarantined() && !quarantinedBefore && !received.isQuarantined()) {
			extend(suspect, nowNanos);
		}
		if (this.settings.storesSuspects()) {
			suspect.markStored();
		}
		if (changed) {
			markForStore(fingerprint, suspect, nowNanos);
		}
		if (changed && suspect.isSuspected() && !suspect.isRunning(nowNanos) && this.runs.contains(fingerprint)) {
			announceRun(fingerprint, suspect, nowNanos);
		}
		return changed;
	}

	private void extend(Suspect suspect, long nowNanos) {
		boolean quarantined = suspect.isQuarantined();
		suspect.extendTo(nowNanos + (quarantined ? this.settings.quarantineNanos() : this.settings.suspicionNanos()));
	}

	private void announceRun(Fingerprint fingerprint, Suspect suspect, long nowNanos) {
		suspect.setRunning(this.vmName, nowNanos + this.settings.maxRunNanos());
		markForGossip(fingerprint);
		markForStore(fingerprint, suspect, nowNanos);
	}

	private void markForGossip(Fingerprint fingerprint) {
		if (!this.settings.storesSuspects()) {
			this.changedEntries.add(fingerprint);
		}
	}

	// Only the VMs that observed one of the crashes store the entry, not all that receive
	// it.
	private void markForStore(Fingerprint fingerprint, Suspect suspect, long nowNanos) {
		if (isWorthStoring(suspect)
				&& suspect.crashes().stream().anyMatch((crash) -> crash.runId().startsWith(this.vmName + '#'))) {
			this.entriesToStore.put(fingerprint, nowNanos + (suspect.isHeldBack() ? 0 : RETRY_NANOS));
		}
	}

	private boolean isSettled(Fingerprint fingerprint) {
		Suspect suspect = this.suspects.get(fingerprint);
		return !this.runs.isInProgress(fingerprint) || suspect.isHeldBack() || !suspect.isSuspected();
	}

	private boolean isWorthStoring(Suspect suspect) {
		boolean isSuspected = this.settings.storesSuspects() ? suspect.isSuspected() : suspect.isQuarantined();
		return isSuspected || suspect.isStored();
	}

	private Set<String> upstreamsOfSuspects() {
		return this.runs.upstreamsOf((fingerprint) -> {
			Suspect suspect = this.suspects.get(fingerprint);
			return suspect != null && suspect.isSuspected();
		});
	}

	private void removeExpired(long nowNanos) {
		this.suspects.values().removeIf((suspect) -> suspect.expiresAtNanos() - nowNanos <= 0);
	}

	private void evict(long nowNanos) {
		removeExpired(nowNanos);
		while (this.suspects.size() > this.settings.maxEntries()) {
			this.suspects.entrySet()
				.stream()
				.min(Comparator.<Map.Entry<Fingerprint, Suspect>>comparingDouble((entry) -> entry.getValue().score())
					.thenComparingLong((entry) -> entry.getValue().expiresAtNanos()))
				.map(Map.Entry::getKey)
				.ifPresent(this.suspects::remove);
		}
	}

	private List<GossipItem> items(Collection<Fingerprint> fingerprints, long nowNanos) {
		return fingerprints.stream()
			.distinct()
			.filter(this.suspects::containsKey)
			.map((fingerprint) -> item(fingerprint, this.suspects.get(fingerprint), nowNanos))
			.toList();
	}

	private GossipItem item(Fingerprint fingerprint, Suspect suspect, long nowNanos) {
		Gossip fragment = Gossip.newBuilder()
			.addQuarantine(QuarantineCodec.encode(fingerprint, suspect, nowNanos))
			.build();
		return new GossipItem("quarantine/" + fingerprint.organisation() + '/' + fingerprint.bodyDigest(), fragment,
				suspect.isSuspected());
	}

}
