package org.burdocktray.process.serve.gateway;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.balance.FleetRoutes;
import org.burdocktray.process.balance.ReplicaTimes;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.limits.ReplicaLimits;
import org.burdocktray.process.settings.GatewayOptions.Activation;
import org.burdocktray.process.settings.GatewayOptions.BalancingOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptTests {

	private static final int TIMEOUT_MILLIS = 5_000;

	private final Vertx vertx = Vertx.vertx();

	private final ReplicaTimes times = new ReplicaTimes();

	private final CompletableFuture<Void> failed = new CompletableFuture<>();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/** Guards against a replica that resets its connections and keeps its share. */
	@Test
	void lostResponseOfPlainReplicaCountsAsFailure() throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Replica replica = replica(server);
			start(replica);
			acceptRequest(server).close();
			assertThat(this.failed).succeedsWithin(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			assertThat(this.times.successShare(replica, System.nanoTime())).isLessThan(0.9);
		}
	}

	/**
	 * Guards against a replica that hangs and keeps its share, and against one that loses
	 * share because callers leave.
	 */
	@Test
	void unresponsivePlainReplicaCountsAsFailureAndCallerThatLeavesDoesNot() throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Replica replica = replica(server);
			Attempt left = start(replica);
			try (Socket accepted = acceptRequest(server)) {
				run(left::cancel);
				assertThat(accepted.isConnected()).isTrue();
			}
			assertThat(this.times.successShare(replica, System.nanoTime())).isEqualTo(1);
			Attempt hanging = start(replica);
			try (Socket accepted = acceptRequest(server)) {
				run(() -> {
					hanging.recordUnresponsive();
					hanging.cancel();
				});
				assertThat(accepted.isConnected()).isTrue();
			}
			assertThat(this.times.successShare(replica, System.nanoTime())).isLessThan(0.9);
		}
	}

	private Attempt start(Replica replica) {
		SplittableRandom random = new SplittableRandom(1);
		ReplicaDirectory directory = new ReplicaDirectory(0);
		directory.put(replica, System.nanoTime());
		ReplicaLoads loads = new ReplicaLoads();
		GatewayMetrics metrics = new GatewayMetrics();
		FleetRoutes routes = new FleetRoutes(replica.dataCentre(), new BalancingOptions(Activation.ALWAYS, 1.3, 10_000),
				(engine) -> 1, this.times, (nowNanos) -> List.of(), null);
		GatewayContext context = new GatewayContext(this.vertx,
				new EventLoopDelay(TimeUnit.HOURS.toNanos(1), System.nanoTime()), replica.dataCentre(),
				fake(HeaderCodec.class, (proxy, method, arguments) -> null), null, null, directory, loads, null, null,
				new ReachMonitor(this.vertx, directory, loads, random, metrics), null, null,
				new LimitedReplicas(new ReplicaLimits("vm-1"), random), null, null,
				new ReplicaConnections(this.vertx, metrics, "Id", new ReplicaConnections.Listener() {
				}), null, null, Optional.of(routes), this.times, Optional.empty(), null, Optional.empty(),
				Optional.empty(), Optional.empty(), Optional.empty(), null, random, metrics);
		ForwardedRequest request = new ForwardedRequest(Optional.of("r1"), HttpMethod.POST, "/",
				MultiMap.caseInsensitiveMultiMap(), Buffer.buffer(), Optional.empty(), false, false, Optional.empty(),
				System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS), null, Optional.empty());
		Attempt attempt = new Attempt(context, request, new Target(replica, Optional.empty(), 0),
				fake(Attempt.Listener.class, (proxy, method, arguments) -> {
					if (method.getName().equals("onFailure")) {
						this.failed.complete(null);
					}
					return null;
				}));
		run(attempt::start);
		return attempt;
	}

	private void run(Runnable action) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.vertx.runOnContext((now) -> {
			action.run();
			done.complete(null);
		});
		assertThat(done).succeedsWithin(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static Socket acceptRequest(ServerSocket server) throws IOException {
		server.setSoTimeout(TIMEOUT_MILLIS);
		Socket accepted = server.accept();
		accepted.setSoTimeout(TIMEOUT_MILLIS);
		assertThat(accepted.getInputStream().read()).isEqualTo('P');
		return accepted;
	}

	private static Replica replica(ServerSocket server) {
		return new Replica("replica-1", 1, "desk", new NetworkAddress("127.0.0.1", server.getLocalPort()),
				new DataCentre("dc-1"), 6, false, Optional.empty(), Optional.empty());
	}

	private static <T> T fake(Class<T> type, InvocationHandler handler) {
		return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] { type }, handler));
	}

}
