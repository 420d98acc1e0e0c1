package org.burdocktray.connection.http;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the bytes that the unfinished responses of a process hold together. When they
 * exceed the limit, the largest response is revoked, so that a few endless responses do
 * not displace the small ones. Invariant: the open shares hold at most the limit after
 * each call. Thread safety: none, confined to one event loop.
 */
public final class BufferedBytesLimit {

	private final long maxBytes;

	private final Set<Share> shares = new LinkedHashSet<>();

	private long heldBytes;

	/**
	 * Creates a limit.
	 * @param maxBytes the bytes of all unfinished responses
	 */
	public BufferedBytesLimit(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Opens the share of one response.
	 * @param onRevoked is called at most once, when the response must be given up
	 * @return the share, which must be closed
	 */
	public Share open(Runnable onRevoked) {
		Share share = new Share(onRevoked);
		this.shares.add(share);
		return share;
	}

	/**
	 * Returns what all unfinished responses hold.
	 * @return the number of bytes
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

	private void revokeLargest() {
		Share largest = this.shares.stream().max(Comparator.comparingLong((share) -> share.bytes)).orElseThrow();
		largest.close();
		largest.onRevoked.run();
	}

	/**
	 * The bytes that one response holds. Thread safety: as the limit.
	 */
	public final class Share {

		private final Runnable onRevoked;

		private long bytes;

		private Share(Runnable onRevoked) {
			this.onRevoked = onRevoked;
		}

		/**
		 * Adds bytes, and revokes the largest shares while all hold too much. Has no
		 * effect on a closed share.
		 * @param count the number of bytes
		 */
		public void add(long count) {
			if (!BufferedBytesLimit.this.shares.contains(this)) {
				return;
			}
			this.bytes += count;
			BufferedBytesLimit.this.heldBytes += count;
			while (BufferedBytesLimit.this.heldBytes > BufferedBytesLimit.this.maxBytes) {
				revokeLargest();
			}
		}

		/** Releases the bytes. Further calls have no effect. */
		public void close() {
			if (BufferedBytesLimit.this.shares.remove(this)) {
				BufferedBytesLimit.this.heldBytes -= this.bytes;
			}
		}

	}

}
