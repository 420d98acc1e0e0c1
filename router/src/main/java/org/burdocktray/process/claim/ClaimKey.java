package org.burdocktray.process.claim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/**
 * The key within which a call runs at most once. Thread safety: immutable.
 *
 * @param organisation the organisation
 * @param idempotencyKey the caller's key
 */
record ClaimKey(String organisation, String idempotencyKey) {

	private static final int HASH_BYTES = 16;

	/**
	 * Returns the name of the entry within its shard, a hash of organisation and key. The
	 * hash input starts with the length of the organisation's name, so that different
	 * pairs have different inputs.
	 * @return 128 bits in URL-safe Base64
	 */
	String entryName() {
		byte[] hash = digest(this.organisation.length() + ":" + this.organisation + this.idempotencyKey);
		return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(hash, HASH_BYTES));
	}

	/**
	 * Returns the shard that stores the key.
	 * @param shardCount the number of shards
	 * @return the index of the shard, from 0
	 */
	int shard(int shardCount) {
		byte[] hash = digest(this.organisation.length() + ":" + this.organisation + this.idempotencyKey);
		return Math.floorMod(ByteBuffer.wrap(hash, HASH_BYTES, Integer.BYTES).getInt(), shardCount);
	}

	private static byte[] digest(String text) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
