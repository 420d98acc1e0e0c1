package org.burdocktray.process.serve.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.jboss.logging.Logger;

/**
 * Applies the replica entries of the platform's store to the directory of replicas.
 * Thread safety: none, confined to one event loop.
 */
final class DirectoryListener implements StoreWatcher.Listener {

	private static final Logger LOGGER = Logger.getLogger(DirectoryListener.class);

	/** Entries are read on the event loop, so that requests wait meanwhile. */
	private static final long LOGGED_READ_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final ObjectCodec codec;

	private final ReplicaDirectory directory;

	DirectoryListener(ObjectCodec codec, ReplicaDirectory directory) {
		this.codec = codec;
		this.directory = directory;
	}

	@Override
	public void onListing(ObjectListing listing, Timestamp sentAt) {
		List<Replica> replicas = new ArrayList<>();
		this.directory.applyTogether(() -> {
			for (StoredObject object : listing.objects()) {
				read(object).peek(replicas::add).peekLeft((fault) -> handleInvalidEntry(object, fault));
			}
			this.directory.replaceAll(replicas, System.nanoTime());
		});
	}

	@Override
	public void onChanges(ObjectChanges changes, Timestamp sentAt) {
		long nowNanos = System.nanoTime();
		this.directory.markStoreAvailable(nowNanos);
		this.directory.applyTogether(() -> changes.changes().forEach((change) -> apply(change, nowNanos)));
	}

	@Override
	public void onUnavailable() {
		this.directory.markStoreUnavailable();
	}

	private void apply(ObjectChanges.ObjectChange change, long nowNanos) {
		if (change.removed()) {
			LOGGER.infof("Replica entry removed: replica=%s", change.object().key());
			this.directory.remove(change.object().key(), nowNanos);
			return;
		}
		read(change.object()).peek((replica) -> {
			LOGGER.infof("Replica entry changed: replica=%s draining=%s layers=%s", replica.id(), replica.draining(),
					replica.layers());
			this.directory.put(replica, nowNanos);
		}).peekLeft((fault) -> handleInvalidEntry(change.object(), fault));
	}

	private Either<String, Replica> read(StoredObject object) {
		long startNanos = System.nanoTime();
		Either<String, Replica> decoded = this.codec.readReplica(object);
		long elapsedNanos = System.nanoTime() - startNanos;
		if (elapsedNanos > LOGGED_READ_NANOS) {
			LOGGER.warnf("Replica entry took long to read: entry=%s characters=%d millis=%d", object.key(),
					object.value().length(), TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
		}
		return decoded;
	}

	private void handleInvalidEntry(StoredObject object, String fault) {
		LOGGER.warnf("Replica entry names no replica to use: entry=%s fault=%s", object.key(), fault);
		this.directory.invalidate(object.key());
	}

}
