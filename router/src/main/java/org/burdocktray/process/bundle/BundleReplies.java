package org.burdocktray.process.bundle;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.burdocktray.connection.peer.generated.BundleReply;
import org.burdocktray.version.signing.BundleCodec;
import org.burdocktray.version.signing.SignedBundle;
import org.burdocktray.version.signing.SignedDelta;

/**
 * Replies to other VMs that request the newest bundle: a delta from the version that they
 * have in force, if it was recently in force here, otherwise the complete bundle. Thread
 * safety: guarded by its monitor.
 */
final class BundleReplies {

	private static final int MAX_RECENT_BUNDLES = 6;

	private final Deque<SignedBundle> recentBundles = new ArrayDeque<>();

	private final Map<Long, BundleReply> repliesByBase = new HashMap<>();

	/**
	 * Adds the bundle that came into force.
	 * @param bundle the verified bundle
	 */
	synchronized void addBundle(SignedBundle bundle) {
		this.recentBundles.addFirst(bundle);
		if (this.recentBundles.size() > MAX_RECENT_BUNDLES) {
			this.recentBundles.removeLast();
		}
		this.repliesByBase.clear();
	}

	/**
	 * Returns the reply to a VM.
	 * @param baseVersion the version that the VM has in force, 0 for none
	 * @return the reply, an empty message when no bundle is in force here
	 */
	synchronized BundleReply replyTo(long baseVersion) {
		if (this.recentBundles.isEmpty()) {
			return BundleReply.getDefaultInstance();
		}
		SignedBundle newest = this.recentBundles.getFirst();
		long usableBase = this.recentBundles.stream()
			.mapToLong(SignedBundle::version)
			.filter((version) -> version == baseVersion && version != newest.version())
			.findFirst()
			.orElse(0);
		return this.repliesByBase.computeIfAbsent(usableBase, (base) -> encode(newest, base));
	}

	private BundleReply encode(SignedBundle newest, long baseVersion) {
		Record content = this.recentBundles.stream()
			.filter((base) -> base.version() == baseVersion)
			.findFirst()
			.<Record>map((base) -> SignedDelta.between(base, newest))
			.orElse(newest);
		return BundleReply.newBuilder()
			.setVersion(newest.version())
			.setSignedBundle(ByteString.copyFromUtf8(BundleCodec.write(content)))
			.build();
	}

}
