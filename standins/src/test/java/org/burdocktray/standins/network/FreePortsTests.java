package org.burdocktray.standins.network;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class FreePortsTests {

	/** The first port that Linux gives by default to sockets that ask for any port. */
	private static final int FIRST_EPHEMERAL_PORT = 32_768;

	private static final int PORT_COUNT = 2_000;

	private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

	@Test
	void noPortIsTakenTwiceByThreadsAtOnce() {
		List<Integer> ports = IntStream.range(0, PORT_COUNT).parallel().mapToObj((index) -> FreePorts.take()).toList();
		assertThat(ports).doesNotHaveDuplicates().hasSize(PORT_COUNT);
	}

	@Test
	void portsLieBelowThoseOfOutgoingConnections() {
		assertThat(FreePorts.LAST_PORT).isLessThan(FIRST_EPHEMERAL_PORT);
		assertThat(IntStream.range(0, PORT_COUNT).map((index) -> FreePorts.take()).boxed().toList())
			.allMatch((port) -> port >= FreePorts.FIRST_PORT && port <= FreePorts.LAST_PORT);
	}

	@Test
	void takenPortCanBeListenedOn() throws IOException {
		int port = FreePorts.take();
		try (ServerSocket server = new ServerSocket(port, 0, LOOPBACK);
				DatagramSocket datagrams = new DatagramSocket(port, LOOPBACK)) {
			assertThat(server.getLocalPort()).isEqualTo(datagrams.getLocalPort());
		}
	}

	@Test
	void portOnWhichAServerListensIsPassedOver() throws IOException {
		int port = FreePorts.take();
		try (ServerSocket server = new ServerSocket(port, 0, LOOPBACK)) {
			assertThat(new FreePorts(port, port + 200, port).takeNext()).isGreaterThan(server.getLocalPort());
		}
		assertThat(new FreePorts(port, port, port).takeNext()).isEqualTo(port);
	}

	@Test
	void portThatIsBoundWithoutListeningIsPassedOver() throws IOException {
		int port = FreePorts.take();
		try (Socket reservation = new Socket()) {
			reservation.setReuseAddress(true);
			reservation.bind(new InetSocketAddress(LOOPBACK, port));
			assertThat(new FreePorts(port, port + 200, port).takeNext()).isGreaterThan(port);
		}
	}

	@Test
	void portOfDatagramsIsPassedOver() throws IOException {
		int port = FreePorts.take();
		try (DatagramSocket datagrams = new DatagramSocket(port, LOOPBACK)) {
			assertThat(new FreePorts(port, port + 200, port).takeNext()).isGreaterThan(datagrams.getLocalPort());
		}
	}

	@Test
	void afterTheLastPortComesTheFirst() {
		int last = FreePorts.take();
		FreePorts ports = new FreePorts(last - 200, last, last);
		assertThat(ports.takeNext()).isEqualTo(last);
		assertThat(ports.takeNext()).isLessThan(last);
	}

	@Test
	void failsWhenAllPortsAreInUse() throws IOException {
		int port = FreePorts.take();
		try (ServerSocket server = new ServerSocket(port, 0, LOOPBACK)) {
			FreePorts ports = new FreePorts(port, port, port);
			assertThatIllegalStateException().isThrownBy(ports::takeNext)
				.withMessageContaining(String.valueOf(server.getLocalPort()));
		}
	}

}
