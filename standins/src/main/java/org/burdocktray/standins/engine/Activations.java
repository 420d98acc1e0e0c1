package org.burdocktray.standins.engine;

import java.util.Arrays;
import java.util.List;

/**
 * Converts activations and states to and from hexadecimal text. Thread safety: stateless.
 */
final class Activations {

	private Activations() {
	}

	static String encode(long activation) {
		return Long.toHexString(activation);
	}

	static long decode(String text) {
		return Long.parseUnsignedLong(text, 16);
	}

	static List<String> encode(long[] activations) {
		return Arrays.stream(activations).mapToObj(Activations::encode).toList();
	}

	static long[] decode(List<String> texts) {
		return texts.stream().mapToLong(Activations::decode).toArray();
	}

}
