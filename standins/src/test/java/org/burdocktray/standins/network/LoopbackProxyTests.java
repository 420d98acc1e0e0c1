package org.burdocktray.standins.network;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class LoopbackProxyTests {

	private static final int SHORT_MILLIS = 100;

	private static final int LONG_MILLIS = 10_000;

	private ServerSocket target;

	private LoopbackProxy proxy;

	private Socket caller;

	private Socket accepted;

	@BeforeEach
	void connect() throws IOException {
		this.target = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
		this.proxy = new LoopbackProxy(this.target.getLocalPort());
		String address = this.proxy.address();
		this.caller = new Socket("127.0.0.1", Integer.parseInt(address.substring(address.indexOf(':') + 1)));
		this.accepted = this.target.accept();
	}

	@AfterEach
	void close() throws IOException {
		this.caller.close();
		this.accepted.close();
		this.proxy.close();
		this.target.close();
	}

	@Test
	void forwardsBytesInBothDirections() throws IOException {
		assertPasses(this.caller, this.accepted);
		assertPasses(this.accepted, this.caller);
	}

	@Test
	void holdsBytesOfOneDirectionBackUntilModeIsPass() throws IOException {
		this.proxy.setMode(LoopbackProxy.Mode.SILENT_FORTH);
		assertPasses(this.accepted, this.caller);
		this.caller.getOutputStream().write(1);
		this.accepted.setSoTimeout(SHORT_MILLIS);
		assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> this.accepted.getInputStream().read());
		this.proxy.setMode(LoopbackProxy.Mode.PASS);
		this.accepted.setSoTimeout(LONG_MILLIS);
		assertThat(this.accepted.getInputStream().read()).isEqualTo(1);
	}

	@Test
	void resetsConnections() throws IOException {
		assertPasses(this.caller, this.accepted);
		this.proxy.reset();
		this.caller.setSoTimeout(LONG_MILLIS);
		assertThatExceptionOfType(SocketException.class).isThrownBy(() -> this.caller.getInputStream().read());
	}

	/** The caller saw an orderly end of a connection that its target had reset. */
	@Test
	void passesOnResetOfTarget() throws IOException {
		assertPasses(this.caller, this.accepted);
		this.accepted.setSoLinger(true, 0);
		this.accepted.close();
		this.caller.setSoTimeout(LONG_MILLIS);
		assertThatExceptionOfType(SocketException.class).isThrownBy(() -> this.caller.getInputStream().read());
	}

	/** The socket of a caller whose target is gone stayed open without a response. */
	@Test
	void resetsConnectionsWhoseTargetIsGone() throws IOException {
		this.target.close();
		String address = this.proxy.address();
		try (Socket refused = new Socket("127.0.0.1", Integer.parseInt(address.substring(address.indexOf(':') + 1)))) {
			refused.setSoTimeout(LONG_MILLIS);
			assertThatExceptionOfType(SocketException.class).isThrownBy(() -> refused.getInputStream().read());
		}
	}

	@Test
	void refusesNewConnectionsAndKeepsOpenOnes() throws IOException {
		this.proxy.refuseConnections();
		assertThatExceptionOfType(ConnectException.class).isThrownBy(this::connectToProxy);
		assertPasses(this.caller, this.accepted);
		this.proxy.acceptConnections();
		connectToProxy();
	}

	@Test
	void leavesNewConnectionsWithoutResponse() throws IOException {
		this.proxy.dropConnections();
		assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(this::connectToProxy);
		assertPasses(this.caller, this.accepted);
		this.proxy.acceptConnections();
		connectToProxy();
	}

	private void connectToProxy() throws IOException {
		String address = this.proxy.address();
		try (Socket socket = new Socket()) {
			int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
			socket.connect(new InetSocketAddress("127.0.0.1", port), 3 * SHORT_MILLIS);
		}
	}

	private static void assertPasses(Socket from, Socket to) throws IOException {
		from.getOutputStream().write(7);
		to.setSoTimeout(LONG_MILLIS);
		assertThat(to.getInputStream().read()).isEqualTo(7);
	}

}
