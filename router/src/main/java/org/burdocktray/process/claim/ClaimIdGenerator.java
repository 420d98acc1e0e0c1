package org.burdocktray.process.claim;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.random.RandomGenerator;

/**
 * Generates claim ids of 96 random bits in URL-safe Base64. Thread safety: can be called
 * from any thread.
 */
final class ClaimIdGenerator {

	private static final int ID_BYTES = 12;

	private final RandomGenerator random;

	ClaimIdGenerator(RandomGenerator random) {
		this.random = random;
	}

	synchronized String next() {
		ByteBuffer bytes = ByteBuffer.allocate(ID_BYTES);
		bytes.putLong(this.random.nextLong()).putInt(this.random.nextInt());
		return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.array());
	}

}
