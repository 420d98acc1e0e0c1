package org.burdocktray.process.serve.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.reactivex.rxjava3.core.Flowable;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.TestReplicas;
import org.burdocktray.process.limits.ReplicaLimits;
import org.burdocktray.process.limits.RequestLimit;
import org.burdocktray.process.limits.RetryAfter;
import org.burdocktray.process.quarantine.Fingerprint;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.process.quarantine.QuarantineSettings;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.process.quarantine.RunOutcome;
import org.burdocktray.process.quarantine.runs.RequestRuns;
import org.burdocktray.process.serve.gateway.ReplicaProbe.Result;
import org.burdocktray.process.serve.gateway.SilentReplica.Verdict;
import org.burdocktray.standins.network.FreePorts;
import org.burdocktray.version.rules.RequestKind;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.ServiceRule;
import org.burdocktray.version.rules.WeightedService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what probes find out about a replica, and what becomes of one that fell silent.
 */
class ReplicaProbeTests {

	private static final String INSTANCE_ID = "Instance";

	private static final String HEALTH_PATH = "/health";

	private static final long TIMEOUT_SECONDS = 10;

	private final Vertx vertx = Vertx.vertx();

	private final ReplicaConnections connections = new ReplicaConnections(this.vertx, new GatewayMetrics(), "Id",
			new ReplicaConnections.Listener() {
			});

	private final ReplicaProbe probe = new ReplicaProbe(this.vertx, this.connections, new InstanceHeader(),
			new LimitedReplicas(new ReplicaLimits("vm-1"), new SplittableRandom(1)));

	private final SilenceWatch silenceWatch = new SilenceWatch(this.vertx, this.probe, System::nanoTime);

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void replicaThatRespondsWithItsIdResponds() {
		assertThat(probe(serve((request) -> respondAs("one", request)))).isEqualTo(Result.RESPONDS);
	}

	@Test
	void responseWithoutIdIsThatOfTheReplica() {
		assertThat(probe(serve((request) -> request.response().setStatusCode(503).end()))).isEqualTo(Result.RESPONDS);
	}

	/** The address of a replica that has ended may be that of another one. */
	@Test
	void responseOfAnotherReplicaIsNoSignOfLife() {
		assertThat(probe(serve((request) -> respondAs("two", request)))).isEqualTo(Result.OTHER_INSTANCE);
	}

	@Test
	void closedPortRefuses() {
		assertThat(probe(FreePorts.take())).isEqualTo(Result.REFUSES);
	}

	@Test
	void replicaThatDoesNotRespondIsSilent() {
		assertThat(probe(serve((request) -> {
		}))).isEqualTo(Result.SILENT);
	}

	/**
	 * Guards against losses that stayed unresolved in a VM that stops: the probe threw,
	 * so that the request was held back as if a replica might have crashed under it.
	 */
	@Test
	void lossOnClosedConnectionsIsResolvedWithoutEvidence() {
		this.connections.close().toCompletionStage().toCompletableFuture().join();
		Quarantine quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-1");
		CrashDetector detector = new CrashDetector(quarantine, this.probe, this.silenceWatch,
				new RefusedReplicas(this.vertx), null, new GatewayMetrics());
		RequestIdentity request = RequestIdentity.withoutParts(new Fingerprint("acme", "0a".repeat(32)));
		RequestRuns<String> runs = new RequestRuns<>(quarantine, request);
		Replica replica = replica(1);
		runs.start("first", UpstreamNames.of(List.of(replica)), System.nanoTime());
		runs.start("second", Set.of("another"), System.nanoTime());
		CompletableFuture<List<Replica>> unresponsive = new CompletableFuture<>();
		this.vertx.runOnContext((now) -> Flowable.fromIterable(runs.close(System.nanoTime()).values())
			.flatMapCompletable((runId) -> detector.checkLostRun(runId, request, List.of(replica), HEALTH_PATH))
			.andThen(detector.findUnresponsive(List.of(replica), HEALTH_PATH))
			.subscribe(unresponsive::complete, unresponsive::completeExceptionally));
		assertThat(unresponsive.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join()).containsExactly(replica);
		assertThat(quarantine.check(request, System.nanoTime())).isInstanceOf(QuarantineDecision.Run.class);
	}

	/**
	 * Guards against runs that began in spite of a crash of which the VM heard while it
	 * probed their target.
	 */
	@Test
	void runIsRefusedByEvidenceThatComesDuringItsProbe() {
		RequestIdentity request = RequestIdentity.withoutParts(new Fingerprint("acme", "0a".repeat(32)));
		Quarantine quarantine = quarantineWithCrash(request, "vm-1", "desk-1");
		Quarantine other = quarantineWithCrash(request, "vm-2", "desk-2");
		int port = serve((probed) -> respondAs("one", probed));
		// The first probe of a process may take longer than its timeout.
		probe(port);
		CrashDetector detector = new CrashDetector(quarantine, this.probe, this.silenceWatch,
				new RefusedReplicas(this.vertx), null, new GatewayMetrics());
		RouteRule route = new RouteRule("r", "h", "/", RequestKind.STREAMING, true, 20_000, 500, 250, 0, 2, true,
				List.of(new WeightedService("s", 1)));
		AdmittedRequest admitted = new AdmittedRequest(1, null, route,
				new ServiceRule("s", HEALTH_PATH, 8, Optional.empty()), Optional.empty(), null, request,
				Optional.empty());
		RunPreparation preparation = new RunPreparation(null, "s", new RunGuard(detector, admitted), null);
		CompletableFuture<RunPreparation.Result> result = new CompletableFuture<>();
		this.vertx.runOnContext((now) -> preparation.prepare((spared) -> {
			// The target is selected after the first check and before the probe.
			quarantine.merge(other.table(System.nanoTime()), System.nanoTime());
			return Optional.of(new Target(replica(port), Optional.empty(), 0));
		}, false, () -> true).subscribe(result::complete, result::completeExceptionally));
		assertThat(result.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join())
			.isInstanceOf(RunPreparation.Result.Quarantined.class);
	}

	private static Quarantine quarantineWithCrash(RequestIdentity request, String vmName, String upstream) {
		Quarantine quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(), vmName);
		String run = quarantine.recordStart(request, Set.of(upstream), System.nanoTime());
		quarantine.recordCrash(upstream, System.nanoTime());
		quarantine.recordEnd(run, RunOutcome.ENDED, System.nanoTime());
		return quarantine;
	}

	/**
	 * Guards against a VM that stops and dismisses its evidence of crashes as one that is
	 * cut off, and against the exception that the check of its reach ended with.
	 */
	@Test
	void vmThatStopsIsNotCutOff() {
		ReplicaDirectory directory = new ReplicaDirectory(0);
		directory.put(TestReplicas.replica("one", 1), 0);
		directory.put(TestReplicas.replica("two", 1), 0);
		ReachMonitor reach = new ReachMonitor(this.vertx, directory, new ReplicaLoads(), new SplittableRandom(1),
				new GatewayMetrics());
		close();
		assertThat(reach.confirm().blockingGet()).isFalse();
		assertThat(reach.isCutOff()).isFalse();
		assertThat(reach.isInDoubt()).isFalse();
	}

	/**
	 * A host that accepts no connections for a while counted as one that refuses them.
	 */
	@Test
	void hostThatAcceptsNoConnectionsIsSilent() throws IOException {
		List<Socket> waiting = new ArrayList<>();
		try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			for (int count = 0; count < 4; count++) {
				Socket socket = new Socket();
				waiting.add(socket);
				fill(socket, full);
			}
			CompletableFuture<Result> result = new CompletableFuture<>();
			this.vertx.runOnContext((now) -> this.probe.probe(replica(full.getLocalPort()), HEALTH_PATH, 2_000)
				.subscribe(result::complete));
			assertThat(result.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join()).isEqualTo(Result.SILENT);
		}
		for (Socket socket : waiting) {
			socket.close();
		}
	}

	@Test
	void watchedReplicaThatRespondsAgainGoesOn() throws InterruptedException {
		AtomicBoolean silent = new AtomicBoolean(true);
		int port = serve((request) -> {
			if (!silent.get()) {
				respondAs("one", request);
			}
		});
		CompletableFuture<Verdict> verdict = watch(port);
		TimeUnit.MILLISECONDS.sleep(700);
		assertThat(verdict).isNotDone();
		silent.set(false);
		assertThat(verdict.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join()).isEqualTo(Verdict.GOES_ON);
	}

	/** A replica with a long queue answers no probe that is given up after 300 ms. */
	@Test
	void watchedReplicaThatRespondsLateGoesOn() {
		int port = serve((request) -> this.vertx.setTimer(1_000, (timer) -> respondAs("one", request)));
		assertThat(watch(port).orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join()).isEqualTo(Verdict.GOES_ON);
	}

	@Test
	void watchedReplicaThatStaysSilentHasCrashed() {
		long startNanos = System.nanoTime();
		Verdict verdict = watch(serve((request) -> {
		})).orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
		assertThat(verdict).isEqualTo(Verdict.CRASHED);
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
			.isGreaterThanOrEqualTo(SilentReplica.SOUND_SILENCE_MILLIS);
	}

	@Test
	void replicaIsWatchedOnce() throws InterruptedException {
		AtomicInteger probes = new AtomicInteger();
		AtomicInteger verdicts = new AtomicInteger();
		CountDownLatch ended = new CountDownLatch(1);
		Replica replica = replica(serve((request) -> probes.incrementAndGet()));
		this.vertx.runOnContext((now) -> {
			for (int count = 0; count < 10; count++) {
				this.silenceWatch.watch(replica, HEALTH_PATH, System.nanoTime(), System::nanoTime, (verdict) -> {
					verdicts.incrementAndGet();
					ended.countDown();
				});
			}
		});
		assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		assertThat(verdicts).hasValue(1);
		assertThat(probes.get()).isLessThanOrEqualTo(10);
	}

	private CompletableFuture<Verdict> watch(int port) {
		CompletableFuture<Verdict> verdict = new CompletableFuture<>();
		this.vertx.runOnContext((now) -> this.silenceWatch.watch(replica(port), HEALTH_PATH, System.nanoTime(),
				System::nanoTime, verdict::complete));
		return verdict;
	}

	private Result probe(int port) {
		CompletableFuture<Result> result = new CompletableFuture<>();
		this.vertx.runOnContext((now) -> this.probe.probe(replica(port), HEALTH_PATH).subscribe(result::complete));
		return result.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
	}

	private int serve(Handler<HttpServerRequest> handler) {
		return this.vertx.createHttpServer()
			.requestHandler(handler)
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join()
			.actualPort();
	}

	private static void respondAs(String id, HttpServerRequest request) {
		request.response().putHeader(INSTANCE_ID, id).end();
	}

	// Connections beyond the backlog stay unanswered.
	private static void fill(Socket socket, ServerSocket full) throws IOException {
		try {
			socket.connect(full.getLocalSocketAddress(), 100);
		}
		catch (SocketTimeoutException ex) {
			assertThat(ex).isNotNull();
		}
	}

	private static Replica replica(int port) {
		return new Replica("one", 1, "desk", new NetworkAddress("127.0.0.1", port), new DataCentre("ghent"), 8, false,
				Optional.empty(), Optional.empty());
	}

	/**
	 * Reads the id of the replica only.
	 */
	private static final class InstanceHeader implements HeaderCodec {

		@Override
		public RequestHead readRequest(MultiMap headers) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void writeForwardedRequest(MultiMap received, ForwardHead added, MultiMap forwarded) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void writeRelayedRequest(MultiMap received, long remainingMillis, Optional<String> lastEventId,
				MultiMap relayed) {
			throw new UnsupportedOperationException();
		}

		@Override
		public String requestIdHeader() {
			throw new UnsupportedOperationException();
		}

		@Override
		public ResponseHead readResponse(int statusCode, MultiMap headers) {
			return new ResponseHead(Optional.empty(), Optional.empty(), false, Optional.empty(),
					Optional.ofNullable(headers.get(INSTANCE_ID)), new RequestLimit.None(), new RetryAfter.None(),
					false);
		}

		@Override
		public void writeResponse(MultiMap received, MultiMap response) {
			throw new UnsupportedOperationException();
		}

	}

}
