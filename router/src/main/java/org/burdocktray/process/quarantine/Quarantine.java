package org.burdocktray.process.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.burdocktray.process.membership.GossipItem;
import org.burdocktray.process.membership.GossipTopic;

/**
 * Detects requests, and parts of prompts, that crash upstreams. When an upstream crashes,
 * all requests that it was running become suspects with all parts of their prompts,
 * except those that had run on it long enough to be harmless. A suspect has one run at a
 * time across all VMs that can reach each other, on upstreams that do not run another
 * suspect. A successful run clears it; a second, independent crash quarantines it. While
 * it is being found out whether upstreams have crashed under runs, no run of the request
 * begins that could be one too many. The same holds while upstreams are silent that ran
 * it: silence is provisional evidence, which suspects the request and holds it back like
 * a crash, but quarantines it only once it is confirmed.
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
	 * The age from which provisional evidence counts as confirmed, unless it has been
	 * dismissed. Longer than a VM takes to decide, so that only evidence of a VM that has
	 * ended, or that is cut off, gets this old.
	 */
	public static final long UNDECIDED_MILLIS = 5_000;

	private static final ConvictionRule WHOLE_REQUEST = new WholeRequestRule();

	private final QuarantineSettings settings;

	private final String vmName;

	private final SuspectTable suspects;

	private final RunTable runs = new RunTable();

	private final PartQuarantine partQuarantine;

	private final LostUpstreams lostUpstreams = new LostUpstreams();

	private final EntryOutbox outbox;

	private final SuspectEvidence evidence;

	private long lastRun;

	/**
	 * Creates an empty quarantine.
	 * @param settings the limits
	 * @param vmName the unique name of this process, different for each start
	 */
	public Quarantine(QuarantineSettings settings, String vmName) {
		this.settings = settings;
		this.vmName = vmName;
		this.suspects = new SuspectTable(settings.maxEntries());
		this.partQuarantine = new PartQuarantine(this.suspects, this.runs);
		this.outbox = new EntryOutbox(this.suspects, settings.storesSuspects());
		this.evidence = new SuspectEvidence(settings, vmName, this.suspects, this.partQuarantine, this.outbox);
	}

	/**
	 * Decides whether a request may run.
	 * @param fingerprint the request
	 * @param nowNanos the time
	 * @return the decision
	 */
	public QuarantineDecision check(Fingerprint fingerprint, long nowNanos) {
		return check(RequestIdentity.withoutParts(fingerprint), nowNanos);
	}

	/**
	 * Decides whether a request may run.
	 * @param request the request
	 * @param nowNanos the time
	 * @return the decision
	 */
	public synchronized QuarantineDecision check(RequestIdentity request, long nowNanos) {
		request.suspects().forEach((fingerprint) -> confirmOverdue(fingerprint, nowNanos));
		QuarantineDecision byParts = this.partQuarantine.check(request, nowNanos);
		return byParts.mayRun() ? checkWhole(request.request(), nowNanos) : byParts;
	}

	private QuarantineDecision checkWhole(Fingerprint fingerprint, long nowNanos) {
		List<CrashEvidence> crashes = this.suspects.findCurrent(fingerprint, nowNanos)
			.map((suspect) -> suspect
				.select((crash) -> !crash.isDismissed() && !this.partQuarantine.explains(crash, nowNanos)))
			.orElse(List.of());
		Optional<Suspect> suspect = this.suspects.find(fingerprint).filter((found) -> !crashes.isEmpty());
		if (WHOLE_REQUEST.isConvicting(crashes.stream().filter(CrashEvidence::isConfirmed).toList())) {
			return new QuarantineDecision.Refuse(suspect.get().expiresAtNanos(), QuarantineDecision.Culprit.REQUEST);
		}
		int knownCrashes = CrashEvidence.independent(crashes).size();
		if (knownCrashes + this.runs.lostRuns(fingerprint) >= WholeRequestRule.CRASHES) {
			return new QuarantineDecision.Wait(nowNanos + LOSS_CHECK_NANOS);
		}
		if (suspect.isEmpty()) {
			return new QuarantineDecision.Run();
		}
		if (suspect.get().isRunning(nowNanos)) {
			return new QuarantineDecision.Wait(suspect.get().runningUntilNanos());
		}
		return new QuarantineDecision.RunAlone(this.runs.upstreamsOf(this.suspects::isSuspected));
	}

	/**
	 * Records the start of a run. Must be called before the first byte of the request is
	 * sent.
	 * @param fingerprint the request
	 * @param upstreams the upstreams of its route
	 * @param nowNanos the time
	 * @return the id of the run
	 */
	public String recordStart(Fingerprint fingerprint, Set<String> upstreams, long nowNanos) {
		return recordStart(RequestIdentity.withoutParts(fingerprint), upstreams, nowNanos);
	}

	/**
	 * Records the start of a run. Must be called before the first byte of the request is
	 * sent.
	 * @param request the request
	 * @param upstreams the upstreams of its route
	 * @param nowNanos the time
	 * @return the id of the run
	 */
	public synchronized String recordStart(RequestIdentity request, Set<String> upstreams, long nowNanos) {
		String runId = this.vmName + '#' + ++this.lastRun;
		this.runs.add(runId, request, upstreams, nowNanos);
		Fingerprint fingerprint = request.request();
		this.suspects.find(fingerprint)
			.filter(Suspect::isSuspected)
			.ifPresent((suspect) -> this.evidence.announceRun(fingerprint, suspect, nowNanos));
		return runId;
	}

	/**
	 * Records that a run has gone on for so long after the beginning of its response that
	 * a crash from now on has another reason. Clears the request and the parts of its
	 * prompt like a success.
	 * @param runId the run
	 * @param nowNanos the time
	 */
	public synchronized void recordHarmless(String runId, long nowNanos) {
		this.runs.markHarmless(runId).ifPresent((run) -> clear(run.identity(), nowNanos));
	}

	/**
	 * Records that an answer has begun well, so that no part of its prompt crashes
	 * upstreams. The request as a whole is still a suspect if one crashes later.
	 * @param runId the run
	 * @param nowNanos the time
	 */
	public synchronized void recordBegunWell(String runId, long nowNanos) {
		this.runs.withdrawParts(runId).forEach((part) -> clearPart(part, nowNanos));
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
		this.runs.remove(runId).map(RunTable.Run::identity).ifPresent((request) -> {
			if (outcome == RunOutcome.SUCCEEDED) {
				clear(request, nowNanos);
			}
			else if (outcome == RunOutcome.RESPONDED) {
				clear(request.request(), nowNanos);
			}
			this.suspects.find(request.request()).ifPresent((suspect) -> announceEnd(request.request(), suspect));
		});
	}

	private void announceEnd(Fingerprint fingerprint, Suspect suspect) {
		boolean isAnnounced = suspect.runningVm().equals(this.vmName) && !this.runs.contains(fingerprint);
		if (isAnnounced) {
			suspect.setRunning("", 0);
			this.outbox.addToGossip(fingerprint);
		}
	}

	// Clears quarantined requests too: a run that succeeds shows that the crashes had
	// other reasons.
	private void clear(RequestIdentity request, long nowNanos) {
		clear(request.request(), nowNanos);
		request.parts().forEach((part) -> clearPart(part, nowNanos));
	}

	private void clearPart(Fingerprint part, long nowNanos) {
		this.partQuarantine.recordBegunWell(part, nowNanos);
		clear(part, nowNanos);
	}

	private void clear(Fingerprint fingerprint, long nowNanos) {
		this.suspects.find(fingerprint)
			.ifPresent((suspect) -> this.evidence.dismiss(fingerprint, suspect, (crash) -> true, nowNanos));
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
		return this.evidence.confirm((crash) -> crash.upstream().equals(upstream), nowNanos)
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
	 * Records that an upstream which was silent has crashed, for the runs that it was
	 * silent under.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 * @return the number of runs
	 */
	public synchronized int confirmSilence(String upstream, long nowNanos) {
		return this.evidence.confirm((crash) -> crash.upstream().equals(upstream), nowNanos);
	}

	/**
	 * Records that an upstream which was silent has responded, so that it has not
	 * crashed.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 * @return the number of runs that are cleared of the silence
	 */
	public synchronized int recordResponse(String upstream, long nowNanos) {
		this.lostUpstreams.recordResponse(upstream);
		return this.evidence.dismiss((crash) -> crash.isProvisional() && crash.upstream().equals(upstream), nowNanos);
	}

	/**
	 * Records that this VM was being cut off from upstreams, so that those which seemed
	 * to crash or to be silent have not. Dismisses the provisional evidence of this VM
	 * only: others may have seen an upstream crash.
	 * @param nowNanos the time
	 * @return the number of runs that are cleared
	 */
	public synchronized int recordCutOff(long nowNanos) {
		return this.evidence.dismiss((crash) -> crash.isProvisional() && this.evidence.isOwnRun(crash), nowNanos);
	}

	private int addEvidence(String upstream, EvidenceState state, long nowNanos) {
		Map<String, RunTable.Run> affected = this.runs.runsOn(upstream);
		int sharedBy = affected.size();
		affected.values().removeIf(RunTable.Run::harmless);
		long firstLossNanos = this.lostUpstreams.recordLoss(upstream, nowNanos);
		int newEvidence = 0;
		for (Map.Entry<String, RunTable.Run> entry : affected.entrySet()) {
			RequestIdentity request = entry.getValue().identity();
			long ageNanos = nowNanos - entry.getValue().startNanos();
			boolean wasLostBefore = entry.getValue().startNanos() - firstLossNanos > 0;
			RequestIdentity suspected = wasLostBefore ? RequestIdentity.withoutParts(request.request()) : request;
			for (Fingerprint fingerprint : suspected.suspects().toList()) {
				CrashedRun run = new CrashedRun(request.request().shortDigest(), ageNanos,
						this.partQuarantine.hasBegunWell(fingerprint, nowNanos));
				CrashEvidence crash = new CrashEvidence(entry.getKey(), upstream, nowNanos, sharedBy, state, run);
				boolean isNew = this.evidence.add(fingerprint, crash, nowNanos);
				newEvidence += (isNew && !fingerprint.isPart()) ? 1 : 0;
			}
		}
		this.partQuarantine.onEvidenceChange();
		this.suspects.evict(nowNanos);
		return newEvidence;
	}

	private void confirmOverdue(Fingerprint fingerprint, long nowNanos) {
		this.suspects.findCurrent(fingerprint, nowNanos)
			.ifPresent((suspect) -> this.evidence.confirm(fingerprint, suspect, (crash) -> crash.isOverdue(nowNanos),
					nowNanos));
	}

	@Override
	public synchronized List<GossipItem> merge(Gossip gossip, long nowNanos) {
		List<Fingerprint> changes = new ArrayList<>();
		gossip.getQuarantineList()
			.stream()
			.filter((entry) -> merge(entry, nowNanos))
			.forEach((entry) -> changes.add(QuarantineCodec.fingerprint(entry)));
		this.suspects.evict(nowNanos);
		return items(changes, nowNanos);
	}

	@Override
	public synchronized Gossip table(long nowNanos) {
		this.suspects.removeExpired(nowNanos);
		Gossip.Builder table = Gossip.newBuilder();
		this.suspects.forEach(
				(fingerprint, suspect) -> table.addQuarantine(QuarantineCodec.encode(fingerprint, suspect, nowNanos)));
		return table.build();
	}

	@Override
	public synchronized List<GossipItem> takeLocalChanges(long nowNanos) {
		return items(this.outbox.takeForGossip(), nowNanos);
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
		return this.outbox.takeForStore(limit, this::isSettled, nowNanos)
			.stream()
			.flatMap((fingerprint) -> takeEntry(fingerprint, nowNanos).stream())
			.toList();
	}

	/**
	 * Returns entries that wait to be written with evidence that this VM has not told the
	 * others, for a time when the store can't be written. Each change of the evidence is
	 * returned at most once.
	 * @param limit the maximum number of entries
	 * @param nowNanos the time
	 * @return the entries, those with most crashes first
	 */
	synchronized List<QuarantineEntry> takeUnsentEntries(int limit, long nowNanos) {
		return this.outbox.findDue(limit, (fingerprint) -> isUnsent(fingerprint) && isSettled(fingerprint), nowNanos)
			.stream()
			.flatMap((fingerprint) -> takeEntry(fingerprint, nowNanos).stream())
			.toList();
	}

	private boolean isUnsent(Fingerprint fingerprint) {
		return this.suspects.find(fingerprint).filter(Suspect::isUnsent).isPresent();
	}

	// An entry that others know must be written if it is dismissed later.
	private Optional<QuarantineEntry> takeEntry(Fingerprint fingerprint, long nowNanos) {
		this.suspects.find(fingerprint).ifPresent((suspect) -> {
			suspect.markStored();
			suspect.markSent();
		});
		return entry(fingerprint, nowNanos);
	}

	/**
	 * Returns an entry to those that are to be written, after its write has failed.
	 * @param fingerprint the request
	 * @param nowNanos the time
	 */
	synchronized void returnEntryToStore(Fingerprint fingerprint, long nowNanos) {
		this.outbox.addToStore(fingerprint, nowNanos);
	}

	/**
	 * Records that this VM has ended a request and will not run it again, so that its
	 * entries are stored at once.
	 * @param request the request
	 * @param nowNanos the time
	 */
	public synchronized void recordGivenUp(RequestIdentity request, long nowNanos) {
		request.suspects().forEach((fingerprint) -> this.outbox.hasten(fingerprint, nowNanos));
	}

	/**
	 * Returns the present entry of a request.
	 * @param fingerprint the request
	 * @param nowNanos the time
	 * @return the entry, empty if there is none any more
	 */
	synchronized Optional<QuarantineEntry> entry(Fingerprint fingerprint, long nowNanos) {
		return this.suspects.find(fingerprint)
			.map((suspect) -> QuarantineCodec.encodeEvidence(fingerprint, suspect, nowNanos));
	}

	private boolean merge(QuarantineEntry entry, long nowNanos) {
		if (entry.getExpiresInMillis() == 0) {
			return false;
		}
		Fingerprint fingerprint = QuarantineCodec.fingerprint(entry);
		Suspect received = new Suspect(nowNanos);
		entry.getCrashesList().forEach((crash) -> received.add(QuarantineCodec.crash(crash, nowNanos)));
		Suspect suspect = this.suspects.findOrAdd(fingerprint, nowNanos);
		boolean quarantinedBefore = suspect.isQuarantined();
		boolean changed = suspect.mergeRunning(entry.getRunningVm(),
				nowNanos + QuarantineCodec.nanos(entry.getRunningForMillis()), entry.getRunningRevision());
		for (CrashEvidence crash : received.crashes()) {
			changed |= suspect.add(crash);
		}
		this.partQuarantine.onEvidenceChange();
		suspect.extendTo(nowNanos + QuarantineCodec.nanos(entry.getExpiresInMillis()));
		// Only new evidence extends an entry. If receiving it by gossip did, it would
		// never expire.
		if (suspect.isQuarantined() && !quarantinedBefore && !received.isQuarantined()) {
			this.evidence.extend(suspect, nowNanos);
		}
		if (this.settings.storesSuspects()) {
			suspect.markStored();
		}
		if (changed) {
			this.evidence.markForStore(fingerprint, suspect, nowNanos);
		}
		if (changed && suspect.isSuspected() && !suspect.isRunning(nowNanos) && this.runs.contains(fingerprint)) {
			this.evidence.announceRun(fingerprint, suspect, nowNanos);
		}
		return changed;
	}

	private boolean isSettled(Fingerprint fingerprint) {
		boolean willChange = this.suspects.find(fingerprint)
			.filter((suspect) -> !suspect.isHeldBack() && suspect.isSuspected())
			.isPresent();
		return !willChange || !this.runs.isInProgress(fingerprint);
	}

	private List<GossipItem> items(Collection<Fingerprint> fingerprints, long nowNanos) {
		return fingerprints.stream()
			.distinct()
			.flatMap((fingerprint) -> this.suspects.find(fingerprint)
				.map((suspect) -> item(fingerprint, suspect, nowNanos))
				.stream())
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
