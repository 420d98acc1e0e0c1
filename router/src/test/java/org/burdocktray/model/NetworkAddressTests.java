package org.burdocktray.model;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class NetworkAddressTests {

	/** The size of the largest value that the platform's store takes. */
	private static final int LARGEST_VALUE_BYTES = 1 << 20;

	/** Many times what a linear pass over the largest value takes. */
	private static final long LINEAR_SECONDS = 5;

	@Test
	void readsAddressesOfBothKinds() {
		assertThat(NetworkAddress.parse("10.0.0.1:8080")).contains(new NetworkAddress("10.0.0.1", 8080));
		assertThat(NetworkAddress.parse("[fd00::1]:8080")).contains(new NetworkAddress("fd00::1", 8080));
		assertThat(NetworkAddress.parse("[::]:1")).contains(new NetworkAddress("::", 1));
		assertThat(NetworkAddress.parse("[::ffff:10.0.0.1]:65535"))
			.contains(new NetworkAddress("::ffff:10.0.0.1", 65535));
	}

	@Test
	void readsTheLongestAddress() {
		String ip = "1111:2222:3333:4444:5555:6666:255.255.255.255";
		assertThat(NetworkAddress.parse("[" + ip + "]:65535")).contains(new NetworkAddress(ip, 65535));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "256.0.0.1:80", "10.0.0:80",
			"host:80", "[]:80", "[fd00]:80", "[fd00::1]", "[fd00::1]:", "[fd00::1]:65536", "fd00::1:80", "[fd00::g]:80",
			"[[::1]]:80" })
	void rejectsOtherTexts(String text) {
		assertThat(NetworkAddress.parse(text)).isEmpty();
	}

	/**
	 * Guards against gateways that hang on one unreadable address, since the time that it
	 * took grew with the square of its length.
	 */
	@Test
	@Timeout(value = LINEAR_SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
	void longTextsAreRejectedInLinearTime() {
		List<String> repeated = List.of(":", ".", "0", "0:", "::", "[", "]", "]:", "[:", "1.", "f", "\u0000");
		List<String> prefixes = List.of("", "[", "[:", "1.1.1.1:", "[::]:");
		for (String prefix : prefixes) {
			for (String part : repeated) {
				String text = prefix + part.repeat(LARGEST_VALUE_BYTES / part.length());
				assertThat(NetworkAddress.parse(text)).as(prefix + part).isEmpty();
			}
		}
	}

}
