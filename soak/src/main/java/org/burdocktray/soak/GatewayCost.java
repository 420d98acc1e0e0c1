package org.burdocktray.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Measures the CPU time of one gateway: until it has served the first stream, while idle,
 * and per event of a stream. Thread safety: runs once per process.
 */
public final class GatewayCost {

	private static final long WARM_UP_MILLIS = 5_000;

	private static final long IDLE_MILLIS = 30_000;

	private static final int ROUNDS = 40;

	private static final int STREAMS_PER_ROUND = 16;

	private static final double NANOS_PER_MICRO = 1_000;

	private GatewayCost() {
	}

	/**
	 * Prints the measured values.
	 * @param arguments the path of the program's JAR file
	 * @throws IOException when the process can't be started
	 * @throws InterruptedException when the run is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		PrintStream out = System.out;
		SoakPlatform platform = new SoakPlatform();
		Path directory = Files.createTempDirectory("gateway-cost-");
		try (platform;
				GatewayProcess gateway = new GatewayProcess("vm-0", directory, Path.of(arguments[0]),
						platform.store.address())) {
			Callers callers = new Callers();
			while (callers.send(gateway.callerAddress(), Call.Kind.DRAFT, SoakPlatform.KEY).join().status() != 200) {
				platform.publishEngineEntries();
				TimeUnit.MILLISECONDS.sleep(100);
			}
			out.printf("until the first stream was served: %d ms of processor time%n", gateway.cpuTime().toMillis());
			TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
			Duration cpuBeforeIdle = gateway.cpuTime();
			TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
			out.printf("idle: %.4f of a core%n",
					gateway.cpuTime().minus(cpuBeforeIdle).toMillis() / (double) IDLE_MILLIS);
			runStreams(gateway, callers);
			Duration cpuBeforeStreams = gateway.cpuTime();
			runStreams(gateway, callers);
			double cpuNanos = gateway.cpuTime().minus(cpuBeforeStreams).toNanos();
			double events = (double) ROUNDS * STREAMS_PER_ROUND * SoakPlatform.EVENTS_PER_STREAM;
			out.printf("%.0f events in streams of %d: %.0f us each, their requests among them%n", events,
					SoakPlatform.EVENTS_PER_STREAM, cpuNanos / NANOS_PER_MICRO / events);
		}
		System.exit(0);
	}

	private static void runStreams(GatewayProcess gateway, Callers callers) {
		for (int round = 0; round < ROUNDS; round++) {
			List<CompletableFuture<Call>> calls = new ArrayList<>();
			for (int stream = 0; stream < STREAMS_PER_ROUND; stream++) {
				calls.add(callers.send(gateway.callerAddress(), Call.Kind.DRAFT, SoakPlatform.KEY));
			}
			calls.forEach(CompletableFuture::join);
		}
	}

}
