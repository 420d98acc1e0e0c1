package org.burdocktray.process.serve.gateway;

import java.util.List;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.process.quarantine.RunOutcome;
import org.jboss.logging.Logger;

/**
 * Finds out after the loss of a run whether a replica has crashed under it, and tells the
 * quarantine. A lost connection alone shows nothing: replicas also lose responses, and
 * networks connections. Nor does silence, since sound replicas go on after it: the
 * quarantine knows it as provisional until the replica has been watched. Thread safety:
 * none, confined to one event loop.
 */
final class CrashDetector {

	private static final Logger LOGGER = Logger.getLogger(CrashDetector.class);

	private final Quarantine quarantine;

	private final ReplicaProbe probe;

	private final SilenceWatch silenceWatch;

	private final RefusedReplicas refused;

	private final ReachMonitor reach;

	private final GatewayMetrics metrics;

	private long lastSignOfLifeNanos = System.nanoTime();

	private Runnable changeListener = () -> {
	};

	CrashDetector(Quarantine quarantine, ReplicaProbe probe, SilenceWatch silenceWatch, RefusedReplicas refused,
			ReachMonitor reach, GatewayMetrics metrics) {
		this.refused = refused;
		this.reach = reach;
		this.quarantine = quarantine;
		this.probe = probe;
		this.silenceWatch = silenceWatch;
		this.metrics = metrics;
	}

	/**
	 * Sets the listener for entries that other VMs need.
	 * @param listener is called when there may be such entries
	 */
	void setChangeListener(Runnable listener) {
		this.changeListener = listener;
	}

	Quarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Probes the replicas of a lost run, and ends the run when they are known. Those that
	 * are silent are watched beyond that. Where that fails, the run ends without
	 * evidence: a loss that stayed open would hold the request back for as long as this
	 * VM runs.
	 * @param runId the run, which is recorded as lost
	 * @param request its request
	 * @param replicas the replicas that may have crashed
	 * @param healthPath the path of their health check
	 * @return completes when the run has ended, never fails; must be subscribed to
	 */
	Completable checkLostRun(String runId, RequestIdentity request, List<Replica> replicas, String healthPath) {
		long sentNanos = System.nanoTime();
		return Flowable.fromIterable(replicas)
			.flatMapSingle((replica) -> this.probe.probe(replica, healthPath)
				.flatMap((result) -> recordProbe(replica, healthPath, result, sentNanos)))
			.ignoreElements()
			.doOnError((cause) -> LOGGER.warnf("Lost run not looked into: run=%s error=%s", runId, cause))
			.onErrorComplete()
			.doOnComplete(() -> endLostRun(runId, request));
	}

	/**
	 * Probes replicas.
	 * @param replicas the replicas
	 * @param healthPath the path of their health check
	 * @return those that do not respond
	 */
	Single<List<Replica>> findUnresponsive(List<Replica> replicas, String healthPath) {
		return Flowable.fromIterable(replicas)
			.flatMapSingle((replica) -> this.probe.probe(replica, healthPath)
				.map((result) -> (result == ReplicaProbe.Result.RESPONDS) ? List.<Replica>of() : List.of(replica)))
			.flatMapIterable((unresponsive) -> unresponsive)
			.toList();
	}

	/**
	 * Records that this VM will not run a request again that was lost.
	 * @param request the request
	 */
	void recordGivenUp(RequestIdentity request) {
		this.quarantine.recordGivenUp(request, System.nanoTime());
		this.changeListener.run();
	}

	/** Records that a replica has sent something to this VM. */
	void recordSignOfLife() {
		this.lastSignOfLifeNanos = System.nanoTime();
	}

	private Single<ReplicaProbe.Result> recordProbe(Replica replica, String healthPath, ReplicaProbe.Result result,
			long sentNanos) {
		return switch (result) {
			case RESPONDS, NOT_SENT -> Single.just(result);
			case OTHER_INSTANCE -> {
				recordCrash(replica, result.name());
				yield Single.just(result);
			}
			// A VM that is cut off takes each replica for one that has ended.
			case REFUSES -> this.reach.confirm().map((reaches) -> {
				if (reaches) {
					recordRefusal(replica);
				}
				return result;
			});
			case SILENT -> {
				boolean isCutOff = this.reach.isCutOff() || this.lastSignOfLifeNanos - sentNanos <= 0;
				if (!isCutOff) {
					recordSilence(replica, healthPath, sentNanos);
				}
				yield Single.just(result);
			}
		};
	}

	private void recordRefusal(Replica replica) {
		if (this.quarantine.recordSilence(UpstreamNames.of(replica), System.nanoTime()) > 0) {
			this.refused.add(replica, this::confirmRefusal);
		}
	}

	private void confirmRefusal(Replica replica) {
		if (this.reach.isCutOff()) {
			return;
		}
		int evidence = this.quarantine.confirmSilence(UpstreamNames.of(replica), System.nanoTime());
		logCrash(replica, evidence, ReplicaProbe.Result.REFUSES.name());
		this.changeListener.run();
	}

	/** Dismisses what seemed to be crashes while this VM was being cut off. */
	void onCutOff() {
		int dismissed = this.quarantine.recordCutOff(System.nanoTime());
		LOGGER.infof("Lost runs are no evidence, VM is cut off: evidence=%d", dismissed);
		this.changeListener.run();
	}

	private void recordSilence(Replica replica, String healthPath, long sentNanos) {
		int newEvidence = this.quarantine.recordSilence(UpstreamNames.of(replica), System.nanoTime());
		if (newEvidence > 0) {
			LOGGER.infof("Replica silent under requests: replica=%s requests=%d", replica.id(), newEvidence);
			this.silenceWatch.watch(replica, healthPath, sentNanos, () -> this.lastSignOfLifeNanos,
					(verdict) -> endSilence(replica, verdict));
		}
	}

	private void endSilence(Replica replica, SilentReplica.Verdict verdict) {
		// What other VMs relay looks like a sign of life.
		if (this.reach.isCutOff()) {
			return;
		}
		if (verdict == SilentReplica.Verdict.CRASHED) {
			recordCrash(replica, verdict.name());
		}
		if (verdict == SilentReplica.Verdict.REFUSES) {
			this.refused.add(replica, this::confirmRefusal);
		}
		if (verdict == SilentReplica.Verdict.GOES_ON) {
			int cleared = this.quarantine.recordResponse(UpstreamNames.of(replica), System.nanoTime());
			LOGGER.infof("Replica responds again: replica=%s requests=%d", replica.id(), cleared);
		}
		this.changeListener.run();
	}

	private void recordCrash(Replica replica, String cause) {
		logCrash(replica, this.quarantine.recordCrash(UpstreamNames.of(replica), System.nanoTime()), cause);
	}

	private void logCrash(Replica replica, int evidence, String cause) {
		if (evidence > 0) {
			this.metrics.recordReplicaCrash();
			LOGGER.infof("Replica crashed under requests: replica=%s requests=%d probe=%s", replica.id(), evidence,
					cause);
		}
	}

	private void endLostRun(String runId, RequestIdentity request) {
		this.quarantine.recordEnd(runId, RunOutcome.ENDED, System.nanoTime());
		if (this.quarantine.check(request, System.nanoTime()) instanceof QuarantineDecision.Refuse refuse) {
			LOGGER.warnf("Request quarantined: content=%s organisation=%s run=%s culprit=%s",
					request.request().shortDigest(), request.request().organisation(), runId, refuse.culprit());
		}
		this.changeListener.run();
	}

}
