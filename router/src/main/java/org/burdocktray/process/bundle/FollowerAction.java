package org.burdocktray.process.bundle;

import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.signing.VerifiedBundle;

/**
 * What a {@link BundleFollower} wants done. Thread safety: immutable.
 */
public sealed interface FollowerAction {

	/**
	 * Read the pointer and report the answer.
	 */
	record ReadPointer() implements FollowerAction {

	}

	/**
	 * Read a rolled bundle and report the answer.
	 *
	 * @param version the version
	 */
	record ReadRolled(long version) implements FollowerAction {

	}

	/**
	 * Watch the rolled bundles; report each event and the end.
	 *
	 * @param afterRevision only writes to the store after this one are wanted
	 */
	record OpenWatch(long afterRevision) implements FollowerAction {

	}

	/**
	 * End the watch without reporting its end.
	 */
	record CloseWatch() implements FollowerAction {

	}

	/**
	 * Ask another VM for its newest bundle and report the answer.
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
	 * Count a bundle that was not accepted.
	 *
	 * @param source where it came from
	 * @param reason what is wrong with it
	 * @param isFirst whether this source gave no such bundle before; only then it is
	 * logged
	 */
	record ReportRefused(String source, String reason, boolean isFirst) implements FollowerAction {

	}

	/**
	 * Call the timer once, in place of an earlier one.
	 *
	 * @param atNanos when
	 */
	record SetTimer(long atNanos) implements FollowerAction {

	}

}
