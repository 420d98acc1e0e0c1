package org.burdocktray.connection.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.generated.BundleReply;
import org.burdocktray.connection.peer.generated.BundleRequest;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.standins.network.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests requests and replies over loopback sockets.
 */
class PeerConnectionsTests {

	private static final PeerTransportLimits LIMITS = new PeerTransportLimits(1_000_000, 2_000, 60_000, 10_000, 10_000,
			64);

	private static final long TIMEOUT_MILLIS = 30_000;

	private static final long SHORT_TIMEOUT_MILLIS = 50;

	private final EventLoopGroup eventLoops = new NioEventLoopGroup(2);

	private final PeerConnections connections = new PeerConnections(this.eventLoops, LIMITS);

	@AfterEach
	void stopEventLoops() {
		this.connections.close();
		this.eventLoops.shutdownGracefully(0, 10, TimeUnit.SECONDS).syncUninterruptibly();
	}

	@Test
	void matchesRepliesToRequestsWhenAnsweredInReverseOrder() {
		SingleSubject<PeerEnvelope> release = SingleSubject.create();
		try (PeerServer server = start((request) -> (version(request) == 1) ? release.map((reply) -> echo(request))
				: Single.fromCallable(() -> echo(request)).doOnSuccess(release::onSuccess))) {
			List<Long> versions = Flowable.just(1L, 2L)
				.concatMapEager((version) -> request(server, version, TIMEOUT_MILLIS).toFlowable())
				.map((reply) -> reply.get().getBundleReply().getVersion())
				.toList()
				.blockingGet();
			assertThat(versions).containsExactly(1L, 2L);
		}
	}

	@Test
	void reportsNotSentWhenTheConnectionIsRefused() {
		NetworkAddress unusedAddress = new NetworkAddress("127.0.0.1", FreePorts.take());
		Either<PeerError, PeerEnvelope> reply = this.connections
			.request(unusedAddress, PeerEnvelope.getDefaultInstance(), TIMEOUT_MILLIS)
			.blockingGet();
		assertThat(reply).isEqualTo(Either.left(PeerError.NOT_SENT));
	}

	@Test
	void reportsUnresolvedWhenTheReplyIsLate() {
		try (PeerServer server = start((request) -> Single.never())) {
			assertThat(request(server, 1, SHORT_TIMEOUT_MILLIS).blockingGet())
				.isEqualTo(Either.left(PeerError.UNRESOLVED));
		}
	}

	@Test
	void reportsUnresolvedWhenTheConnectionBreaksAfterTheRequest() {
		SingleSubject<PeerServer> running = SingleSubject.create();
		PeerServer server = start(
				(request) -> running.doOnSuccess((runningServer) -> new Thread(runningServer::close).start())
					.flatMap((runningServer) -> Single.never()));
		running.onSuccess(server);
		assertThat(request(server, 1, TIMEOUT_MILLIS).blockingGet()).isEqualTo(Either.left(PeerError.UNRESOLVED));
	}

	@Test
	void reconnectsAfterAServerRestart() {
		NetworkAddress address;
		try (PeerServer first = start((request) -> Single.just(echo(request)))) {
			address = first.address();
			assertThat(request(first, 1, TIMEOUT_MILLIS).blockingGet().isRight()).isTrue();
		}
		// The first request after the restart may still be written to the old connection.
		try (PeerServer second = restart(address, (request) -> Single.just(echo(request)))) {
			boolean hasReply = IntStream.range(0, 3)
				.anyMatch((attempt) -> request(second, 2, TIMEOUT_MILLIS).blockingGet().isRight());
			assertThat(hasReply).isTrue();
		}
	}

	@Test
	void answersWithFailureWhenTheHandlerFails() {
		try (PeerServer server = start((request) -> Single.error(new IllegalStateException("broken")))) {
			assertThat(request(server, 1, TIMEOUT_MILLIS).blockingGet().get().hasRequestFailed()).isTrue();
		}
	}

	@Test
	void rejectsRequestsOverThePendingLimitAsNotSent() {
		AtomicInteger notSent = new AtomicInteger();
		try (PeerServer server = start((request) -> Single.never())) {
			List<Either<PeerError, PeerEnvelope>> replies = Flowable.range(0, LIMITS.maxPendingRequests() + 10)
				.flatMapSingle((version) -> request(server, version, 2_000))
				.doOnNext((reply) -> notSent.addAndGet((reply.getLeft() == PeerError.NOT_SENT) ? 1 : 0))
				.toList()
				.blockingGet();
			assertThat(replies).hasSize(LIMITS.maxPendingRequests() + 10);
			assertThat(notSent).hasValueGreaterThanOrEqualTo(10);
		}
	}

	private PeerServer start(PeerRequestHandler handler) {
		return PeerServer.start(this.eventLoops, "127.0.0.1", FreePorts.take(), LIMITS, handler);
	}

	// The port is released only when the selector of the old listener runs next, which
	// can
	// be after the listener's close has returned.
	private PeerServer restart(NetworkAddress address, PeerRequestHandler handler) {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
		while (!isFree(address) && System.nanoTime() < deadlineNanos) {
			Thread.onSpinWait();
		}
		return PeerServer.start(this.eventLoops, address.ip(), address.port(), LIMITS, handler);
	}

	private static boolean isFree(NetworkAddress address) {
		try (ServerSocket probe = new ServerSocket()) {
			probe.setReuseAddress(true);
			probe.bind(new InetSocketAddress(address.ip(), address.port()));
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private Single<Either<PeerError, PeerEnvelope>> request(PeerServer server, long version, long timeoutMillis) {
		PeerEnvelope request = PeerEnvelope.newBuilder()
			.setBundleRequest(BundleRequest.newBuilder().setVersion(version))
			.build();
		return this.connections.request(server.address(), request, timeoutMillis);
	}

	private static long version(PeerEnvelope request) {
		return request.getBundleRequest().getVersion();
	}

	private static PeerEnvelope echo(PeerEnvelope request) {
		return PeerEnvelope.newBuilder().setBundleReply(BundleReply.newBuilder().setVersion(version(request))).build();
	}

}
