package org.burdocktray.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.burdocktray.soak.SoakPlatform.ReplicaFaults;
import org.burdocktray.standins.gateway.PlainReplicaStandIn.Behaviour;
import org.burdocktray.standins.network.LoopbackProxy;

/**
 * One run of the soak: gateways, with calls and faults that are chosen at random from a
 * seed. Faults can overlap and follow each other in series. Thread safety: confined to
 * one thread.
 */
final class SoakRun {

	static final long REVOCATION_MILLIS = 5_000;

	private static final double SECOND_ANSWER_SHARE = 0.1;

	private static final double PARTIAL_ANSWER_SHARE = 0.2;

	/** The idempotent requests of a step that follow each other on kept connections. */
	private static final int CHECKS_PER_STEP = 3;

	private static final double FAILED_SHARE = 0.2;

	private static final int GATEWAY_COUNT = 3;

	private static final long STEP_INTERVAL_MILLIS = 40;

	private static final double FAULT_PROBABILITY = 0.06;

	private static final double CLEAR_FAULTS_PROBABILITY = 0.04;

	private static final long READY_TIMEOUT_MILLIS = 20_000;

	private static final long RECOVERY_TIMEOUT_MILLIS = 12_000;

	private static final double ENDING_REQUEST_PROBABILITY = 0.1;

	private static final double SILENCE_PROBABILITY = 0.03;

	private static final long CALM_MILLIS = 6_000;

	/** The most replicas that one process sends a request to that ends them. */
	private static final int MAX_ENDED_BY_PROCESS = 2;

	private final Random random;

	/** Separate, so that the other faults of a seed stay as they were. */
	private final Random endingRequestRandom;

	/** Separate for the same reason. */
	private final Random silenceRandom;

	/** Separate for the same reason. */
	private final Random checkRandom;

	private CompletableFuture<Call> endingRequest = CompletableFuture.completedFuture(null);

	private int endedReplicas;

	private final long runMillis;

	private final SoakPlatform platform;

	private final List<GatewayProcess> gateways = new ArrayList<>();

	private final List<LoopbackProxy> storeProxies = new ArrayList<>();

	private final Callers callers = new Callers();

	private final List<String> faultLog = new ArrayList<>();

	private final List<String> violations = new ArrayList<>();

	private final long startNanos = System.nanoTime();

	SoakRun(long seed, long runMillis, Path directory, Path jar) throws IOException {
		this.random = new Random(seed);
		this.endingRequestRandom = new Random(~seed);
		this.silenceRandom = new Random(Long.reverse(seed));
		this.checkRandom = new Random(Long.reverse(~seed));
		this.runMillis = runMillis;
		this.platform = new SoakPlatform(
				new ReplicaFaults(SECOND_ANSWER_SHARE, PARTIAL_ANSWER_SHARE, FAILED_SHARE, seed));
		for (int index = 0; index < GATEWAY_COUNT; index++) {
			LoopbackProxy proxy = new LoopbackProxy(this.platform.store.port());
			this.storeProxies.add(proxy);
			this.gateways.add(new GatewayProcess("vm-" + index, directory, jar, proxy.address()));
		}
		// Kills the gateways when the soak is interrupted.
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.gateways.forEach(GatewayProcess::kill)));
	}

	/**
	 * Executes the run.
	 * @return the result
	 */
	Result run() throws IOException, InterruptedException {
		try {
			awaitServed("start", READY_TIMEOUT_MILLIS);
			long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.runMillis);
			long revocationNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.runMillis / 3);
			long revokedFromNanos = Long.MAX_VALUE;
			while (System.nanoTime() - endNanos < 0) {
				if (revokedFromNanos == Long.MAX_VALUE && System.nanoTime() - revocationNanos > 0) {
					this.platform.putRules(false);
					revokedFromNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REVOCATION_MILLIS);
					recordEvent("key revoked");
				}
				step(revokedFromNanos != Long.MAX_VALUE);
				TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL_MILLIS);
			}
			clearFaults();
			awaitPlannedStops();
			awaitServed("the end of the faults", RECOVERY_TIMEOUT_MILLIS);
			CalmPhase calm = new CalmPhase(this.silenceRandom, this.platform, this.gateways, this.callers,
					this::recordEvent);
			this.endingRequest.join();
			long calmFromNanos = System.nanoTime();
			calm.run(CALM_MILLIS);
			long calmToNanos = System.nanoTime();
			awaitServed("the calm phase", RECOVERY_TIMEOUT_MILLIS);
			checkPlannedStop();
			List<Call> calls = this.callers.awaitAll();
			this.violations.addAll(Guarantees.findLostCalls(calls, calmFromNanos, calmToNanos));
			this.endedReplicas += this.platform.replaceEndedReplicas();
			checkEndedReplicas();
			this.violations.addAll(Guarantees.findViolations(calls, this.platform.executionCounts(),
					this.platform.answers(), revokedFromNanos));
			long served = calls.stream().filter((call) -> call.status() == 200).count();
			return new Result(calls.size(), served, this.faultLog, this.violations);
		}
		finally {
			for (GatewayProcess gateway : this.gateways) {
				gateway.close();
			}
			for (LoopbackProxy proxy : this.storeProxies) {
				proxy.close();
			}
			this.platform.close();
		}
	}

	private void step(boolean isRevoked) throws IOException, InterruptedException {
		GatewayProcess target = this.gateways.get(this.random.nextInt(GATEWAY_COUNT));
		Call.Kind kind = Call.Kind.values()[this.random.nextInt(Call.Kind.values().length)];
		String key = (this.random.nextInt(5) == 0) ? SoakPlatform.REVOKED_KEY : SoakPlatform.KEY;
		this.callers.send(target.callerAddress(), kind, key);
		sendChecks();
		sendEndingRequest();
		this.platform.publishEngineEntries();
		restartExitedGateways();
		if (this.silenceRandom.nextDouble() < SILENCE_PROBABILITY) {
			this.platform.silenceSome(this.silenceRandom);
		}
		if (this.random.nextDouble() < FAULT_PROBABILITY) {
			injectFault(isRevoked);
		}
		if (this.random.nextDouble() < CLEAR_FAULTS_PROBABILITY) {
			clearFaults();
		}
	}

	// Enough for second answers, which are few, to meet the answers of runs that fail.
	private void sendChecks() {
		for (int count = 0; count < CHECKS_PER_STEP; count++) {
			GatewayProcess gateway = this.gateways.get(this.checkRandom.nextInt(GATEWAY_COUNT));
			this.callers.send(gateway.callerAddress(), Call.Kind.CHECK, SoakPlatform.KEY);
		}
	}

	// One caller sends the request again and again, at any gateway.
	private void sendEndingRequest() throws IOException {
		this.endedReplicas += this.platform.replaceEndedReplicas();
		if (this.endingRequest.isDone() && this.endingRequestRandom.nextDouble() < ENDING_REQUEST_PROBABILITY) {
			GatewayProcess gateway = this.gateways.get(this.endingRequestRandom.nextInt(GATEWAY_COUNT));
			this.endingRequest = this.callers.sendEnding(gateway.callerAddress());
		}
	}

	private void checkEndedReplicas() {
		int maxEnded = MAX_ENDED_BY_PROCESS * this.gateways.stream().mapToInt(GatewayProcess::startCount).sum();
		if (this.endedReplicas > maxEnded) {
			this.violations.add("one request ended " + this.endedReplicas + " replicas, " + maxEnded + " are allowed");
		}
		recordEvent("replicas ended by one request: " + this.endedReplicas);
	}

	private void injectFault(boolean isRevoked) throws IOException, InterruptedException {
		int index = this.random.nextInt(GATEWAY_COUNT);
		GatewayProcess gateway = this.gateways.get(index);
		LoopbackProxy storeProxy = this.storeProxies.get(index);
		LoopbackProxy replicaProxy = this.platform.replicaProxy(index);
		LoopbackProxy.Mode mode = LoopbackProxy.Mode.values()[this.random.nextInt(LoopbackProxy.Mode.values().length)];
		int faultNumber = this.random.nextInt(13);
		recordEvent("fault " + faultNumber + " at " + index + " " + mode);
		switch (faultNumber) {
			case 0 -> gateway.terminate();
			case 1 -> gateway.kill();
			case 2 -> gateway.pause();
			case 3 -> gateway.reload();
			case 4 -> storeProxy.setMode(mode);
			case 5 -> storeProxy.reset();
			case 6 -> replicaProxy.setMode(mode);
			case 7 -> replicaProxy.reset();
			case 8 -> this.platform.store.setUnavailable(true);
			case 9 -> this.platform.store.discardHistory();
			case 10 ->
				this.platform.setBehaviour(index, Behaviour.values()[this.random.nextInt(Behaviour.values().length)]);
			case 11 -> {
				this.platform.addEngine();
				this.platform.failEngine(this.random.nextInt(100));
			}
			default -> this.platform.putRules(!isRevoked);
		}
	}

	private void clearFaults() throws IOException, InterruptedException {
		this.platform.clearFaults();
		this.storeProxies.forEach((proxy) -> proxy.setMode(LoopbackProxy.Mode.PASS));
		for (GatewayProcess gateway : this.gateways) {
			gateway.resume();
		}
		recordEvent("faults cleared");
	}

	// Waits until all gateways that were asked to stop have exited.
	private void awaitPlannedStops() throws InterruptedException {
		for (GatewayProcess gateway : this.gateways) {
			if (gateway.isStopping() && !gateway.awaitExit(RECOVERY_TIMEOUT_MILLIS)) {
				this.violations.add("a planned stop did not complete within " + RECOVERY_TIMEOUT_MILLIS + " ms");
			}
		}
	}

	private void restartExitedGateways() throws IOException {
		for (GatewayProcess gateway : this.gateways) {
			if (gateway.startIfExited()) {
				recordEvent("start");
			}
		}
	}

	// Checks that each gateway serves each kind of call again within the time limit.
	private void awaitServed(String precedingEvent, long millis) throws IOException, InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		for (GatewayProcess gateway : this.gateways) {
			for (Call.Kind kind : Call.Kind.values()) {
				while (this.callers.send(gateway.callerAddress(), kind, SoakPlatform.KEY).join().status() != 200) {
					if (System.nanoTime() - endNanos > 0) {
						this.violations.add("no " + kind + " is served at " + gateway.callerAddress() + " " + millis
								+ " ms after " + precedingEvent);
						break;
					}
					this.platform.publishEngineEntries();
					restartExitedGateways();
					TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL_MILLIS);
				}
			}
		}
	}

	// Checks that a planned stop finishes the call in progress and exits with status 0.
	private void checkPlannedStop() throws InterruptedException {
		GatewayProcess gateway = this.gateways.get(0);
		var lastCall = this.callers.send(gateway.callerAddress(), Call.Kind.DRAFT, SoakPlatform.KEY);
		TimeUnit.MILLISECONDS.sleep(2 * STEP_INTERVAL_MILLIS);
		gateway.terminate();
		if (lastCall.join().status() != 200) {
			this.violations.add("a planned stop aborted " + lastCall.join().id());
		}
		if (!gateway.awaitExit(RECOVERY_TIMEOUT_MILLIS) || gateway.exitCode() != 0) {
			this.violations.add("a planned stop did not exit with status 0");
		}
	}

	private void recordEvent(String event) {
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
		this.faultLog.add(millis + " ms " + event);
	}

	/**
	 * The result of a run. Thread safety: immutable.
	 *
	 * @param calls the number of calls
	 * @param served the number of calls with status 200
	 * @param faultLog the faults and recoveries in order
	 * @param violations the violated guarantees, empty when there are none
	 */
	record Result(int calls, long served, List<String> faultLog, List<String> violations) {

	}

}
