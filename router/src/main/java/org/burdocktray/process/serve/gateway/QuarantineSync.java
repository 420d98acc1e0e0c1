package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineStore;

/**
 * Exchanges entries of the quarantine with the other VMs through the platform's store:
 * writes those that this VM has changed, and watches those of all VMs. A VM that starts
 * reads them first. Datagrams, which may be lost, bring entries to the other VMs sooner.
 * Thread safety: none, confined to one event loop.
 */
final class QuarantineSync {

	/** The kind of the entries. */
	static final String KIND = "burdocktray-quarantine";

	private static final long SAVE_INTERVAL_MILLIS = 100;

	/** Keeps a datagram within one network packet. */
	private static final int ENTRIES_PER_DATAGRAM = 2;

	private static final long RETRY_PAUSE_MILLIS = 1_000;

	/** A watch that was lost without a trace is noticed after this time. */
	static final long WATCH_WAIT_MILLIS = 10_000;

	/**
	 * The datagrams bring changes at once; the watch brings those that were lost. Each
	 * change wakes the watches of all VMs.
	 */
	private static final long WATCH_BATCH_MILLIS = 1_000;

	private final Vertx vertx;

	private final QuarantineStore store;

	private final StoreWatcher watcher;

	private final Quarantine quarantine;

	private final Consumer<SharedLoads> datagrams;

	private boolean saving;

	/**
	 * Creates the exchange without starting it.
	 * @param vertx runs the timers
	 * @param quarantine the quarantine of this VM
	 * @param adapter the platform's store
	 * @param outage the outage of the store that all watchers share
	 * @param datagrams sends a message to all other VMs
	 */
	QuarantineSync(Vertx vertx, Quarantine quarantine, GatewayAdapter adapter, StoreOutage outage,
			Consumer<SharedLoads> datagrams) {
		this.vertx = vertx;
		this.quarantine = quarantine;
		this.datagrams = datagrams;
		this.store = new QuarantineStore(quarantine,
				new QuarantineStore.ValueFormat(KIND + "/", QuarantineSync::quote, QuarantineSync::unquote),
				adapter.store(), System::nanoTime, System::currentTimeMillis);
		this.watcher = new StoreWatcher(vertx, adapter.hintFeed(), adapter.hintFeed(), KIND, () -> WATCH_WAIT_MILLIS,
				WATCH_BATCH_MILLIS, StoreWatcher.Listener.ofObjects(this.store::merge, (sentAt) -> {
				}), outage, adapter.eras(), StoreWatcher.OutageRole.WAITS);
		adapter.eras().addListener(this.store::onStoreRestored);
	}

	void start() {
		this.watcher.start();
		this.vertx.setPeriodic(SAVE_INTERVAL_MILLIS, (timer) -> save());
	}

	/**
	 * Tells the other VMs of the entries that this VM has changed, and writes them unless
	 * a write is in progress or has just failed: news must not wait for the store.
	 */
	void save() {
		if (this.saving) {
			sendDatagrams(this.store.takeUnsentEntries());
			return;
		}
		List<QuarantineEntry> entries = this.store.takeEntries();
		if (entries.isEmpty()) {
			return;
		}
		this.saving = true;
		sendDatagrams(entries);
		// The store's client throws once it is closed. The exception must not reach the
		// caller that has reported a change.
		Single.defer(() -> this.store.save(entries)).onErrorReturnItem(false).subscribe((allWritten) -> {
			if (allWritten) {
				this.saving = false;
				save();
				return;
			}
			this.vertx.setTimer(RETRY_PAUSE_MILLIS, (timer) -> this.saving = false);
		});
	}

	/**
	 * Merges the entries that another VM has sent.
	 * @param message the message of that VM
	 */
	void receive(SharedLoads message) {
		if (message.getQuarantineCount() > 0) {
			this.quarantine.merge(Gossip.newBuilder().addAllQuarantine(message.getQuarantineList()).build(),
					System.nanoTime());
		}
	}

	private void sendDatagrams(List<QuarantineEntry> entries) {
		for (int from = 0; from < entries.size(); from += ENTRIES_PER_DATAGRAM) {
			List<QuarantineEntry> part = entries.subList(from, Math.min(entries.size(), from + ENTRIES_PER_DATAGRAM));
			this.datagrams.accept(SharedLoads.newBuilder().addAllQuarantine(part).build());
		}
	}

	// The values of the store are JSON texts.
	private static String quote(String text) {
		return '"' + text + '"';
	}

	private static String unquote(String value) {
		if (value.length() < 2 || value.charAt(0) != '"') {
			throw new IllegalArgumentException("not a JSON text");
		}
		return value.substring(1, value.length() - 1);
	}

}
