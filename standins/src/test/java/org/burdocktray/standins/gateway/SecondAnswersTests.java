package org.burdocktray.standins.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SecondAnswersTests {

	private static final int REQUESTS = 20;

	private static final int TIMEOUT_MILLIS = 5_000;

	private static final int SEEDS = 24;

	private static final long PAUSE_MILLIS = 100;

	private static final String BODY = "ran at one for null";

	private static final String FAILED_BODY = "failed at one for null";

	@Test
	void eachAnswerIsSentTwiceInWhole() throws IOException {
		PlainReplicaStandIn replica = new PlainReplicaStandIn("one");
		replica.setSecondAnswers(1, 0, 1);
		replica.start(0);
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), replica.port())) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			StringBuilder received = new StringBuilder();
			for (int number = 0; number < REQUESTS; number++) {
				write(socket, number);
				readUntil(socket, received, "Id: r" + number + "\r\n", 1);
			}
			write(socket, REQUESTS);
			for (int number = 0; number < REQUESTS; number++) {
				readUntil(socket, received, "Id: r" + number + "\r\n", 2);
			}
		}
		finally {
			replica.stop();
		}
	}

	@Test
	void secondAnswerToFailedRunIsSuccessWithItsSignatureAndId() throws IOException {
		PlainReplicaStandIn replica = new PlainReplicaStandIn("one");
		replica.setSecondAnswers(1, 0, 1);
		replica.setFailures(1, 1);
		replica.start(0);
		try (Socket socket = connect(replica)) {
			StringBuilder received = new StringBuilder();
			write(socket, 0);
			readUntil(socket, received, FAILED_BODY, 1);
			write(socket, 1);
			readUntil(socket, received, FAILED_BODY, 2);
			readUntil(socket, received, formatSecond(findSignature(replica, 0), 0), 1);
		}
		finally {
			replica.stop();
		}
		assertThat(replica.answers()).hasSize(2);
		assertThat(replica.answers().values()).extracting(PlainReplicaStandIn.Answer::status).containsOnly(500);
	}

	@Test
	void shareOfRunsFailsAndEachHasItsOwnSignature() throws IOException {
		PlainReplicaStandIn replica = new PlainReplicaStandIn("one");
		replica.setFailures(0.5, 1);
		replica.start(0);
		StringBuilder received = new StringBuilder();
		try (Socket socket = connect(replica)) {
			for (int number = 0; number < REQUESTS; number++) {
				write(socket, 7);
				readUntil(socket, received, " for null", number + 1);
			}
		}
		finally {
			replica.stop();
		}
		assertThat(replica.answers()).hasSize(REQUESTS);
		long failed = replica.answers().values().stream().filter((answer) -> answer.status() == 500).count();
		assertThat(failed).isBetween(1L, REQUESTS - 1L);
		assertThat(count(received, "HTTP/1.1 500 ")).isEqualTo((int) failed);
		replica.answers().keySet().forEach((signature) -> assertThat(count(received, signature + "\r\n")).isEqualTo(1));
	}

	/**
	 * Checks for many seeds that the beginning of a second answer comes before the next
	 * answer, and its rest behind that or never. The pause is longer than a second answer
	 * is delayed.
	 */
	@Test
	void partialSecondAnswersBreakOffOrGoOnBehindTheNextAnswer() throws IOException, InterruptedException {
		Set<String> forms = new HashSet<>();
		Set<Integer> lengths = new HashSet<>();
		for (int seed = 1; seed <= SEEDS; seed++) {
			PlainReplicaStandIn replica = new PlainReplicaStandIn("one");
			replica.setSecondAnswers(0, 1, seed);
			replica.start(0);
			StringBuilder received = new StringBuilder();
			try (Socket socket = connect(replica)) {
				for (int number = 0; number < 2; number++) {
					write(socket, number);
					readUntil(socket, received, BODY, number + 1);
					TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				}
				readAvailable(socket, received);
			}
			finally {
				replica.stop();
			}
			String[] around = received.substring(formatFirst(replica, 0).length())
				.split(Pattern.quote(formatFirst(replica, 1)), 2);
			String second = formatSecond(findSignature(replica, 0), 0);
			String beginning = around[0];
			assertThat(second).startsWith(beginning).isNotEqualTo(beginning);
			assertThat(beginning).isNotEmpty();
			String next = formatSecond(findSignature(replica, 1), 1);
			String rest = second.substring(beginning.length());
			boolean isInterleaved = around[1].startsWith(rest);
			String behind = isInterleaved ? around[1].substring(rest.length()) : around[1];
			assertThat(next).startsWith(behind).isNotEqualTo(behind);
			forms.add(isInterleaved ? "interleaved" : "broken off");
			lengths.add(beginning.length());
		}
		assertThat(forms).containsExactlyInAnyOrder("interleaved", "broken off");
		assertThat(lengths).hasSizeGreaterThan(SEEDS / 3);
	}

	private static Socket connect(PlainReplicaStandIn replica) throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), replica.port());
		socket.setSoTimeout(TIMEOUT_MILLIS);
		return socket;
	}

	private static String findSignature(PlainReplicaStandIn replica, int number) {
		return replica.answers()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().requestId().equals("r" + number))
			.findFirst()
			.map(Map.Entry::getKey)
			.orElse("none");
	}

	private static String formatFirst(PlainReplicaStandIn replica, int number) {
		return "HTTP/1.1 200 OK\r\nX-Burdocktray-Request-Id: r" + number + "\r\nX-Burdocktray-Response-Signature: "
				+ findSignature(replica, number) + "\r\ncontent-length: " + BODY.length() + "\r\n\r\n" + BODY;
	}

	private static String formatSecond(String signature, int number) {
		return "HTTP/1.1 200 OK\r\nX-Burdocktray-Response-Signature: " + signature + "\r\nX-Burdocktray-Request-Id: r"
				+ number + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
	}

	private static void write(Socket socket, int number) throws IOException {
		String request = "GET /check/1 HTTP/1.1\r\nHost: a.example\r\nX-Burdocktray-Request-Id: r" + number
				+ "\r\n\r\n";
		socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static void readUntil(Socket socket, StringBuilder received, String text, int times) throws IOException {
		byte[] bytes = new byte[4096];
		while (count(received, text) < times) {
			int length = socket.getInputStream().read(bytes);
			assertThat(length).isPositive();
			received.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
		}
	}

	private static void readAvailable(Socket socket, StringBuilder received) throws IOException {
		byte[] bytes = socket.getInputStream().readNBytes(socket.getInputStream().available());
		received.append(new String(bytes, StandardCharsets.ISO_8859_1));
	}

	private static int count(StringBuilder received, String text) {
		return received.toString().split(Pattern.quote(text), -1).length - 1;
	}

}
