package org.burdocktray.process.serve;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.burdocktray.model.NetworkAddress;
import org.burdocktray.standins.platform.PlatformFaults;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests callers that send incomplete requests or disconnect early.
 */
class CallerBehaviourTests {

	@Test
	void callerDisconnectCancelsTheStreamAtTheEngines() throws IOException {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 20)) {
			try (Socket caller = open(fleet)) {
				String body = TestCaller.chatBody("panel 1", true).encode();
				write(caller, requestHead(body.length()) + body);
				String line = reader(caller).lines().filter((text) -> text.startsWith("data: ")).findFirst().get();
				assertThat(line).contains("chat.completion.chunk");
			}
			while (fleet.router(0).requestsInProgress() > 0) {
				Thread.onSpinWait();
			}
			int tokens = TestFleet.expectedResponse("panel 1").tokens().size();
			assertThat(fleet.tail(0).log().size()).isLessThan(tokens);
		}
	}

	@Test
	void incompleteRequestBodyTimesOut() throws IOException {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0); Socket caller = open(fleet)) {
			write(caller, requestHead(100) + "{");
			assertThat(reader(caller).readLine()).contains("408");
		}
	}

	@Test
	void callerDisconnectBeforeTheClaimIsGrantedDoesNotRunTheCallAndReleasesTheKey() throws IOException {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0)) {
			fleet.platform().applyFaults(new PlatformFaults(false, false, 0, 0, 300, 0));
			try (Socket caller = open(fleet)) {
				write(caller, "POST /services/booking/deposits HTTP/1.1\r\nHost: router\r\nIdempotency-Key: k\r\n"
						+ "Authorization: Bearer " + TestFleet.API_KEY + "\r\nContent-Length: 2\r\n\r\n{}");
				while (fleet.router(0).requestsInProgress() == 0) {
					Thread.onSpinWait();
				}
			}
			while (fleet.router(0).requestsInProgress() > 0) {
				Thread.onSpinWait();
			}
			assertThat(fleet.replicas()).allMatch((replica) -> replica.log().isEmpty());
			fleet.platform().applyFaults(PlatformFaults.NONE);
			assertThat(fleet.caller(0)
				.send("POST", "/services/booking/deposits", "{}", "Idempotency-Key", "k")
				.join()
				.statusCode()).isEqualTo(200);
		}
	}

	private static Socket open(TestFleet fleet) throws IOException {
		NetworkAddress address = fleet.caller(0).address();
		return new Socket(address.ip(), address.port());
	}

	private static String requestHead(int length) {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + TestFleet.API_KEY
				+ "\r\nContent-Length: " + length + "\r\n\r\n";
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		socket.getOutputStream().flush();
	}

	private static BufferedReader reader(Socket socket) throws IOException {
		return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
	}

}
