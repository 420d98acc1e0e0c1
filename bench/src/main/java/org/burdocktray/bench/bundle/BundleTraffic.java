package org.burdocktray.bench.bundle;

import org.burdocktray.version.signing.BundleCodec;
import org.burdocktray.version.signing.SignedDelta;

/**
 * Counts the bundles that one VM sends and receives, whole ones and differences. Thread
 * safety: one thread.
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

	void recordReceived(String text) {
		if (isDelta(text)) {
			this.deltasReceived++;
			return;
		}
		this.completeReceived++;
	}

	void recordSent(String text) {
		if (isDelta(text)) {
			this.deltasSent++;
			return;
		}
		this.completeSent++;
	}

	long receivedBytes(long wholeBytes, long deltaBytes) {
		return this.completeReceived * wholeBytes + this.deltasReceived * deltaBytes;
	}

	long sentBytes(long wholeBytes, long deltaBytes) {
		return this.completeSent * wholeBytes + this.deltasSent * deltaBytes;
	}

	private static boolean isDelta(String text) {
		return BundleCodec.read(text, SignedDelta.class).isPresent();
	}

}
