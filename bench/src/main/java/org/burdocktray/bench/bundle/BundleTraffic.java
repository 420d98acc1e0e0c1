package org.burdocktray.bench.bundle;

import org.burdocktray.version.signing.BundleCodec;
import org.burdocktray.version.signing.SignedDelta;

/**
 * Counts the complete bundles and deltas that one VM sends and receives. Thread safety:
 * one thread.
 */
final class BundleTraffic {

	private long completeReceived;

	private long completeSent;

	private long deltasReceived;

	private long deltasSent;

	void reset() {
		this.completeReceived = 0;
		this.completeSent = 0;
		this.deltasReceived = 0;
		this.deltasSent = 0;
	}

	void recordReceived(String signedBundle) {
		if (isDelta(signedBundle)) {
			this.deltasReceived++;
			return;
		}
		this.completeReceived++;
	}

	void recordSent(String signedBundle) {
		if (isDelta(signedBundle)) {
			this.deltasSent++;
			return;
		}
		this.completeSent++;
	}

	long receivedBytes(long completeBytes, long deltaBytes) {
		return this.completeReceived * completeBytes + this.deltasReceived * deltaBytes;
	}

	long sentBytes(long completeBytes, long deltaBytes) {
		return this.completeSent * completeBytes + this.deltasSent * deltaBytes;
	}

	private static boolean isDelta(String signedBundle) {
		return BundleCodec.read(signedBundle, SignedDelta.class).isPresent();
	}

}
