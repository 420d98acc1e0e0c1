package org.burdocktray.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The part of a run in which nothing fails: sound replicas fall silent and go on, rules
 * change, and gateways reload their settings or are stopped as planned and started again.
 * Thread safety: confined to the thread that injects the faults.
 */
final class CalmPhase {

	private static final long STEP_INTERVAL_MILLIS = 40;

	private static final double SILENCE_PROBABILITY = 0.04;

	private static final double RULES_PROBABILITY = 0.04;

	private static final double RELOAD_PROBABILITY = 0.02;

	private static final double STOP_PROBABILITY = 0.02;

	private final Random random;

	private final SoakPlatform platform;

	private final List<GatewayProcess> gateways;

	private final Callers callers;

	private final Consumer<String> eventLog;

	CalmPhase(Random random, SoakPlatform platform, List<GatewayProcess> gateways, Callers callers,
			Consumer<String> eventLog) {
		this.random = random;
		this.platform = platform;
		this.gateways = gateways;
		this.callers = callers;
		this.eventLog = eventLog;
	}

	/**
	 * Sends calls, and waits at the end until no replica is silent and no gateway stops.
	 * @param millis how long calls are sent
	 */
	void run(long millis) throws IOException, InterruptedException {
		this.eventLog.accept("calm phase");
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() - endNanos < 0) {
			sendCall();
			step();
			TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL_MILLIS);
		}
		while (this.platform.isAnySilent() || isAnyStopping()) {
			startExitedGateways();
			TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL_MILLIS);
		}
	}

	private void sendCall() {
		List<GatewayProcess> inRotation = this.gateways.stream().filter(GatewayProcess::isInRotation).toList();
		GatewayProcess gateway = inRotation.get(this.random.nextInt(inRotation.size()));
		Call.Kind kind = Call.Kind.values()[this.random.nextInt(Call.Kind.values().length)];
		this.callers.send(gateway.callerAddress(), kind, SoakPlatform.KEY);
	}

	private void step() throws IOException, InterruptedException {
		this.platform.publishEngineEntries();
		startExitedGateways();
		GatewayProcess gateway = this.gateways.get(this.random.nextInt(this.gateways.size()));
		// A silence could last longer than a stop, which ends what is not done in time.
		if (this.random.nextDouble() < SILENCE_PROBABILITY && !isAnyStopping()) {
			this.platform.silenceSome(this.random);
			this.eventLog.accept("silence");
		}
		if (this.random.nextDouble() < RULES_PROBABILITY) {
			this.platform.putRules(false);
		}
		if (this.random.nextDouble() < RELOAD_PROBABILITY) {
			gateway.reload();
			this.eventLog.accept("reload");
		}
		if (this.random.nextDouble() < STOP_PROBABILITY && !isAnyStopping()) {
			gateway.terminate();
			this.eventLog.accept("planned stop");
		}
	}

	private boolean isAnyStopping() {
		return this.gateways.stream().anyMatch(GatewayProcess::isStopping);
	}

	private void startExitedGateways() throws IOException {
		for (GatewayProcess gateway : this.gateways) {
			if (gateway.startIfExited()) {
				this.eventLog.accept("start");
			}
		}
	}

}
