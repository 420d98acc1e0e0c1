package org.burdocktray.process.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.burdocktray.process.membership.GossipItem;
import org.burdocktray.process.membership.GossipTopic;

/**
 * Detects requests that crash upstreams. When an upstream crashes, all requests that it
 * was running become suspects. A suspect has one run at a time across all VMs that can
 * reach each other, on upstreams that do not run another suspect. A successful run clears
 * it; a second, independent crash quarantines it.
 *
 * Invariants: a crash of an upstream and a run are each counted once, regardless of how
 * many VMs report them; the number of entries is limited, and when the limit is exceeded
 * the entries with the least suspicion are evicted. Thread safety: all methods are
 * synchronized and do not block otherwise.
 */
public final class Quarantine implements GossipTopic {

	private final QuarantineSettings settings;

	private final String vmName;

	private final Map<Fingerprint, Suspect> suspects = new LinkedHashMap<>();

	private final Map<String, Run> runs = new LinkedHashMap<>();

	private final Set<Fingerprint> changedEntries = new LinkedHashSet<>();

	private final Set<Fingerprint> entriesToStore = new LinkedHashSet<>();

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
		removeExpired(nowNanos);
		Suspect suspect = this.suspects.get(fingerprint);
		if (suspect == null || !suspect.isSuspected()) {
			return new QuarantineDecision.Run();
		}
		if (suspect.isQuarantined()) {
			return new QuarantineDecision.Refuse(suspect.expiresAtNanos());
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
		this.runs.put(runId, new Run(fingerprint, Set.copyOf(upstreams)));
		Suspect suspect = this.suspects.get(fingerprint);
		if (suspect != null && suspect.isSuspected()) {
			announceRun(fingerprint, suspect, nowNanos);
		}
		return runId;
	}

	/**
	 * Records the end of a run. Must be called after {@link #recordCrash} if an upstream
	 * crashed.
	 * @param runId the run
	 * @param outcome how it ended
	 */
	public synchronized void recordEnd(String runId, RunOutcome outcome) {
		Run run = this.runs.remove(runId);
		Suspect suspect = (run != null) ? this.suspects.get(run.fingerprint()) : null;
		if (suspect == null) {
			return;
		}
		boolean cleared = outcome == RunOutcome.SUCCEEDED && !suspect.isQuarantined()
				&& suspect.dismiss((crash) -> true);
		boolean announced = suspect.runningVm().equals(this.vmName) && !isRunningLocally(run.fingerprint());
		if (announced) {
			suspect.setRunning("", 0);
		}
		if (cleared || announced) {
			this.changedEntries.add(run.fingerprint());
		}
	}

	/**
	 * Records the crash of an upstream, which is the loss of a connection with a request
	 * in progress. The requests of all runs of this VM on the upstream become suspects.
	 * Requests whose connections an upstream refuses are not evidence of a crash.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 */
	public synchronized void recordCrash(String upstream, long nowNanos) {
		Map<String, Run> affected = new LinkedHashMap<>(this.runs);
		affected.values().removeIf((run) -> !run.upstreams().contains(upstream));
		affected.forEach((runId, run) -> {
			Suspect suspect = this.suspects.computeIfAbsent(run.fingerprint(), (fingerprint) -> new Suspect(nowNanos));
			suspect.add(new CrashEvidence(runId, upstream, nowNanos, affected.size(), false));
			extend(suspect, nowNanos);
			announceRun(run.fingerprint(), suspect, nowNanos);
		});
		evict();
	}

	@Override
	public synchronized List<GossipItem> merge(Gossip gossip, long nowNanos) {
		List<Fingerprint> changes = new ArrayList<>();
		gossip.getQuarantineList()
			.stream()
			.filter((entry) -> merge(entry, nowNanos))
			.forEach((entry) -> changes.add(QuarantineCodec.fingerprint(entry)));
		evict();
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
	 * Returns the requests that were quarantined on this VM since the last call and are
	 * to be written to the platform's store.
	 * @param nowNanos the time
	 * @return the entries
	 */
	public synchronized List<QuarantineEntry> takeEntriesToStore(long nowNanos) {
		List<QuarantineEntry> entries = this.entriesToStore.stream()
			.filter(this.suspects::containsKey)
			.map((fingerprint) -> QuarantineCodec.encode(fingerprint, this.suspects.get(fingerprint), nowNanos))
			.toList();
		this.entriesToStore.clear();
		return entries;
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
		if (changed) {
			markForStore(fingerprint, suspect);
		}
		if (changed && suspect.isSuspected() && !suspect.isRunning(nowNanos) && isRunningLocally(fingerprint)) {
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
		this.changedEntries.add(fingerprint);
		markForStore(fingerprint, suspect);
	}

	// Only the VMs that observed one of the crashes store the entry, not all that receive
	// it.
	private void markForStore(Fingerprint fingerprint, Suspect suspect) {
		if (suspect.isQuarantined()
				&& suspect.crashes().stream().anyMatch((crash) -> crash.runId().startsWith(this.vmName + '#'))) {
			this.entriesToStore.add(fingerprint);
		}
	}

	private Set<String> upstreamsOfSuspects() {
		return this.runs.values().stream().filter((run) -> {
			Suspect suspect = this.suspects.get(run.fingerprint());
			return suspect != null && suspect.isSuspected();
		}).flatMap((run) -> run.upstreams().stream()).collect(Collectors.toUnmodifiableSet());
	}

	private boolean isRunningLocally(Fingerprint fingerprint) {
		return this.runs.values().stream().anyMatch((run) -> run.fingerprint().equals(fingerprint));
	}

	private void removeExpired(long nowNanos) {
		this.suspects.values().removeIf((suspect) -> suspect.expiresAtNanos() - nowNanos <= 0);
	}

	private void evict() {
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

	private record Run(Fingerprint fingerprint, Set<String> upstreams) {

	}

}
