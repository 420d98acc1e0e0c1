package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.function.Consumer;

import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;

/**
 * Passes on the listed or changed objects of each response. Ignores removals. Thread
 * safety: that of its consumers.
 *
 * @param onObjects consumer of objects
 * @param onResponse consumer of the times whose state successful calls show
 */
record ObjectListener(Consumer<List<StoredObject>> onObjects,
		Consumer<Timestamp> onResponse) implements StoreWatcher.Listener {

	@Override
	public void onListing(ObjectListing listing, Timestamp confirmedAt) {
		this.onObjects.accept(listing.objects());
		this.onResponse.accept(confirmedAt);
	}

	@Override
	public void onChanges(ObjectChanges changes, Timestamp confirmedAt) {
		this.onObjects.accept(changes.changes()
			.stream()
			.filter((change) -> !change.removed())
			.map(ObjectChanges.ObjectChange::object)
			.toList());
		this.onResponse.accept(confirmedAt);
	}

	@Override
	public void onUnavailable() {
		// The age of the last response shows that the store is unavailable.
	}

}
