package org.burdocktray.process.serve.gateway;

import java.util.function.Consumer;

import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;

/**
 * Hands single objects on, whether listed or changed. Removals are of no interest to it.
 * Thread safety: that of its consumers.
 *
 * @param onObject takes an object
 * @param onResponse takes when an answered call was sent
 */
record ObjectListener(Consumer<StoredObject> onObject,
		Consumer<Timestamp> onResponse) implements StoreWatcher.Listener {

	@Override
	public void onListing(ObjectListing listing, Timestamp sent) {
		listing.objects().forEach(this.onObject);
		this.onResponse.accept(sent);
	}

	@Override
	public void onChanges(ObjectChanges changes, Timestamp sent) {
		changes.changes()
			.stream()
			.filter((change) -> !change.removed())
			.map(ObjectChanges.ObjectChange::object)
			.forEach(this.onObject);
		this.onResponse.accept(sent);
	}

	@Override
	public void onUnavailable() {
		// The age of the last answer says it.
	}

}
