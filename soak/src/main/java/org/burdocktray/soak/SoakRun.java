package org.burdocktray.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.burdocktray.standins.gateway.PlainReplicaStandIn.Behaviour;

/**
 * One run: gateways, callers and faults drawn from a seed. Faults overlap and come in
 * series. Thread safety: none, runs on one thread.
 */
final class SoakRun {

	static final long REVOCATION_MILLIS = 5_000;

	private static final int GATEWAY_COUNT = 3;

	private static final long STEP_INTERVAL_MILLIS = 40;

	private static final double FAULT_PROBABILITY = 0.06;

	private static final double CLEAR_FAULTS_PROBABILITY = 0.04;

	private static final long READY_TIMEOUT_MILLIS = 20_000;

	private static final long RECOVERY_TIMEOUT_MILLIS = 12_000;

	private final Random random;

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
		this.runMillis = runMillis;
		this.platform = new SoakPlatform();
		for (int index = 0; index < GATEWAY_COUNT; index++) {
			LoopbackProxy proxy = new LoopbackProxy(this.platform.store.port());
			this.storeProxies.add(proxy);
			this.gateways.add(new GatewayProcess("vm-" + index, directory, jar, proxy.address()));
		}
		// No gateway outlives a soak that is stopped.
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.gateways.forEach(GatewayProcess::kill)));
	}

	/**
	 * Runs to the end.
	 * @return what happened
	 */
	Result run() throws IOException, InterruptedException {
		try {
			awaitServed("start", READY_TIMEOUT_MILLIS);
			long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.runMillis);
			long middleNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.runMillis / 3);
			long revokedNanos = Long.MAX_VALUE;
			while (System.nanoTime() - endNanos < 0) {
				if (revokedNanos == Long.MAX_VALUE && System.nanoTime() - middleNanos > 0) {
					this.platform.putRules(false);
					revokedNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REVOCATION_MILLIS);
					recordEvent("key taken away");
				}
				step(revokedNanos != Long.MAX_VALUE);
				TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL_MILLIS);
			}
			clearFaults();
			awaitPlannedStops();
			awaitServed("the end of the faults", RECOVERY_TIMEOUT_MILLIS);
			checkPlannedStop();
			List<Call> calls = this.callers.awaitAll();
			this.violations.addAll(Guarantees.findViolations(calls, this.platform.executionCounts(), revokedNanos));
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
		this.platform.publishEngineEntries();
		restartExitedGateways();
		if (this.random.nextDouble() < FAULT_PROBABILITY) {
			injectFault(isRevoked);
		}
		if (this.random.nextDouble() < CLEAR_FAULTS_PROBABILITY) {
			clearFaults();
		}
	}

	private void injectFault(boolean isRevoked) throws IOException, InterruptedException {
		int index = this.random.nextInt(GATEWAY_COUNT);
		GatewayProcess gateway = this.gateways.get(index);
		LoopbackProxy storeProxy = this.storeProxies.get(index);
		LoopbackProxy replicaProxy = this.platform.replicaProxy(index);
		LoopbackProxy.Mode mode = LoopbackProxy.Mode.values()[this.random.nextInt(LoopbackProxy.Mode.values().length)];
		int choice = this.random.nextInt(13);
		recordEvent("fault " + choice + " at " + index + " " + mode);
		switch (choice) {
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
		recordEvent("heal");
	}

	// Gateways that were told to stop before end first.
	private void awaitPlannedStops() throws InterruptedException {
		for (GatewayProcess gateway : this.gateways) {
			if (gateway.isStopping() && !gateway.awaitExit(RECOVERY_TIMEOUT_MILLIS)) {
				this.violations.add("a planned stop did not end in " + RECOVERY_TIMEOUT_MILLIS + " ms");
			}
		}
	}

	private void restartExitedGateways() throws IOException {
		for (GatewayProcess gateway : this.gateways) {
			if (!gateway.isAlive()) {
				gateway.start();
				recordEvent("start");
			}
		}
	}

	// Each gateway serves each kind of call again in time.
	private void awaitServed(String since, long millis) throws IOException, InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		for (GatewayProcess gateway : this.gateways) {
			for (Call.Kind kind : Call.Kind.values()) {
				while (this.callers.send(gateway.callerAddress(), kind, SoakPlatform.KEY).join().status() != 200) {
					if (System.nanoTime() - endNanos > 0) {
						this.violations.add("no " + kind + " is served at " + gateway.callerAddress() + " " + millis
								+ " ms after " + since);
						break;
					}
					this.platform.publishEngineEntries();
					restartExitedGateways();
					TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL_MILLIS);
				}
			}
		}
	}

	// A planned stop ends what is in progress and exits with 0.
	private void checkPlannedStop() throws InterruptedException {
		GatewayProcess gateway = this.gateways.get(0);
		var last = this.callers.send(gateway.callerAddress(), Call.Kind.DRAFT, SoakPlatform.KEY);
		TimeUnit.MILLISECONDS.sleep(2 * STEP_INTERVAL_MILLIS);
		gateway.terminate();
		if (last.join().status() != 200) {
			this.violations.add("a planned stop broke off " + last.join().id());
		}
		if (!gateway.awaitExit(RECOVERY_TIMEOUT_MILLIS) || gateway.exitCode() != 0) {
			this.violations.add("a planned stop did not end with 0");
		}
	}

	private void recordEvent(String fault) {
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
		this.faultLog.add(millis + " ms " + fault);
	}

	/**
	 * What happened in a run. Thread safety: immutable.
	 *
	 * @param calls the calls
	 * @param served those with a status of 200
	 * @param faultLog the faults in order
	 * @param violations what was broken
	 */
	record Result(int calls, long served, List<String> faultLog, List<String> violations) {

	}

}
