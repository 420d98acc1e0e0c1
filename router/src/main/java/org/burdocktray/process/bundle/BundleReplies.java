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
 * The replies to other VMs that ask for the newest bundle: the difference to what they
 * have, when that was in force here lately, or else the whole. Thread safety: guarded by
 * its monitor.
 */
final class BundleReplies {

	private static final int MAX_RECENT_BUNDLES = 6;

	private final Deque<SignedBundle> recentBundles = new ArrayDeque<>();

	private final Map<Long, BundleReply> repliesByBase = new HashMap<>();

	/**
	 * Takes the bundle that came into force.
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
	 * Makes the reply to a VM.
	 * @param baseVersion the version that the VM has in force, 0 for none
	 * @return the reply, without content when nothing is in force here
	 */
	synchronized BundleReply replyTo(long baseVersion) {
		if (this.recentBundles.isEmpty()) {
			return BundleReply.getDefaultInstance();
		}
		SignedBundle newest = this.recentBundles.getFirst();
		long knownBase = this.recentBundles.stream()
			.mapToLong(SignedBundle::version)
			.filter((version) -> version == baseVersion && version != newest.version())
			.findFirst()
			.orElse(0);
		return this.repliesByBase.computeIfAbsent(knownBase, (base) -> encode(newest, base));
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
