package org.burdocktray.standins.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SecondAnswersTests {

	private static final int REQUESTS = 20;

	private static final int TIMEOUT_MILLIS = 5_000;

	@Test
	void eachAnswerIsSentTwiceInWhole() throws IOException {
		PlainReplicaStandIn replica = new PlainReplicaStandIn("one");
		replica.setSecondAnswers(1, 1);
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

	private static int count(StringBuilder received, String text) {
		return received.toString().split(text, -1).length - 1;
	}

}
