package org.burdocktray.process.bundle;

import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.signing.VerifiedBundle;

/**
 * Action requested by a {@link BundleFollower}. Thread safety: immutable.
 */
public sealed interface FollowerAction {

	/**
	 * Read the pointer and report the response.
	 */
	record ReadPointer() implements FollowerAction {

	}

	/**
	 * Read a rolled bundle and report the response.
	 *
	 * @param version the version
	 */
	record ReadRolled(long version) implements FollowerAction {

	}

	/**
	 * Watch the rolled bundles; report each event and the end.
	 *
	 * @param afterRevision the store revision after which writes are reported
	 */
	record OpenWatch(long afterRevision) implements FollowerAction {

	}

	/**
	 * Close the watch without reporting its end.
	 */
	record CloseWatch() implements FollowerAction {

	}

	/**
	 * Request the newest bundle from another VM and report the reply.
	 *
	 * @param peer the VM's address
	 */
	record FetchFromPeer(NetworkAddress peer) implements FollowerAction {

	}

	/**
	 * Put a bundle in force.
	 *
	 * @param bundle the verified bundle
	 */
	record PutInForce(VerifiedBundle bundle) implements FollowerAction {

	}

	/**
	 * Count a refused bundle.
	 *
	 * @param source the address of the peer, or the platform
	 * @param reason the reason for the refusal
	 * @param isFirst whether this is the first refusal with this source and reason; later
	 * ones are not logged
	 */
	record ReportRefused(String source, String reason, boolean isFirst) implements FollowerAction {

	}

	/**
	 * Call {@link BundleFollower#onTimer} once; replaces the previous timer.
	 *
	 * @param atNanos the monotonic time
	 */
	record SetTimer(long atNanos) implements FollowerAction {

	}

}
