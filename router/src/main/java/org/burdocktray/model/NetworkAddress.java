package org.burdocktray.model;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address and a TCP port. Host names are not supported, because processes reach
 * each other by IP address only. Addresses come from outside, some from writers that this
 * product does not know: the time that it takes to read one is linear in its length, and
 * bounded. Thread safety: immutable.
 *
 * @param ip an IPv4 address in dotted form or an IPv6 address without brackets
 * @param port the TCP port, 1 to 65535
 */
public record NetworkAddress(String ip, int port) {

	private static final int MAX_PORT = 65535;

	/** An IPv6 address whose last part is in dotted form, in brackets, and a port. */
	private static final int MAX_TEXT_LENGTH = "[0000:0000:0000:0000:0000:0000:255.255.255.255]:65535".length();

	private static final Pattern IP_V4 = Pattern
		.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!:)|(?=:))){4}:(\\d{1,5})");

	private static final Pattern IP_V6 = Pattern.compile("\\[([0-9a-fA-F.]*+:[0-9a-fA-F:.]*+)]:(\\d{1,5})");

	public NetworkAddress {
		if (port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("port must be between 1 and 65535, was " + port);
		}
	}

	/**
	 * Parses {@code 10.0.0.1:8080} or {@code [fd00::1]:8080}.
	 * @param text an address and a port
	 * @return the address, or empty when the text is not an IP address with a port
	 */
	public static Optional<NetworkAddress> parse(String text) {
		if (text.length() > MAX_TEXT_LENGTH) {
			return Optional.empty();
		}
		Matcher v4 = IP_V4.matcher(text);
		if (v4.matches()) {
			return create(text.substring(0, text.lastIndexOf(':')), Integer.parseInt(v4.group(4)));
		}
		Matcher v6 = IP_V6.matcher(text);
		if (v6.matches()) {
			return create(v6.group(1), Integer.parseInt(v6.group(2)));
		}
		return Optional.empty();
	}

	private static Optional<NetworkAddress> create(String ip, int port) {
		if (port < 1 || port > MAX_PORT) {
			return Optional.empty();
		}
		return Optional.of(new NetworkAddress(ip, port));
	}

	@Override
	public String toString() {
		return (this.ip.indexOf(':') >= 0) ? "[" + this.ip + "]:" + this.port : this.ip + ":" + this.port;
	}

}
