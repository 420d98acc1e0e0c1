package org.burdocktray.process.serve;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Service;
import org.burdocktray.version.routing.RoutingSnapshot;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a planned stop closes no connection before the response on it is written.
 */
class PlannedStopTests {

	private static final int BODY_BYTES = 12 * 1024 * 1024;

	private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

	private static final int READ_BUFFER_BYTES = 64 * 1024;

	private static final int SOCKET_TIMEOUT_MILLIS = 20_000;

	private final Vertx vertx = Vertx.vertx();

	@Test
	void stopWaitsUntilASlowCallerHasItsResponse() throws IOException {
		HttpServer upstream = this.vertx.createHttpServer()
			.requestHandler((request) -> request.response().end(Buffer.buffer(new byte[BODY_BYTES])))
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0); Socket caller = new Socket()) {
			offerService(fleet, new NetworkAddress("127.0.0.1", upstream.actualPort()));
			caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			caller.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
			NetworkAddress router = fleet.caller(0).address();
			caller.connect(new InetSocketAddress(router.ip(), router.port()));
			sendSearch(caller);
			InputStream response = caller.getInputStream();
			long receivedBytes = response.readNBytes(1).length;
			Future<Void> stopped = fleet.router(0).stop();
			receivedBytes += readSlowly(response);
			assertThat(receivedBytes).isGreaterThan(BODY_BYTES);
			TestFleet.await(stopped);
			fleet.forget(0);
		}
		finally {
			TestFleet.await(this.vertx.close());
		}
	}

	private static long readSlowly(InputStream response) throws IOException {
		byte[] buffer = new byte[READ_BUFFER_BYTES];
		long bytes = 0;
		int read = 0;
		while (read >= 0 && bytes < BODY_BYTES) {
			bytes += read;
			sleepMillis(1);
			read = response.read(buffer);
		}
		return bytes + Math.max(0, read);
	}

	private static void sendSearch(Socket caller) throws IOException {
		String head = "POST /services/booking/search HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer "
				+ TestFleet.API_KEY + "\r\nContent-Length: 2\r\n\r\n{}";
		caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
	}

	private static void offerService(TestFleet fleet, NetworkAddress address) {
		Bundle bundle = fleet.bundle(2);
		Service booking = bundle.services().get(0);
		Service.Replica replica = booking.replicas().get(0);
		Service changed = new Service(booking.name(),
				List.of(new Service.Replica(replica.name(), replica.dataCentre(), address, 32)), booking.routes(),
				booking.removesDuplicatesByKey());
		Bundle next = new Bundle(bundle.version(), bundle.models(), bundle.engines(), bundle.links(), List.of(changed),
				bundle.organisations(), bundle.operators(), bundle.objectives(), bundle.limits());
		fleet.router(0).gate().offer(RoutingSnapshot.of(next));
		fleet.router(0).currentVersion().refresh();
	}

	private static void sleepMillis(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
