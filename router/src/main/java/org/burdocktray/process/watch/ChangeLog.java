package org.burdocktray.process.watch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;

/**
 * What this VM has from the store itself of one kind of objects: the objects, the recent
 * changes, and since when they are confirmed. Invariants: all objects and changes are of
 * one era of the store; within an era the revision decreases only when a store that has
 * no eras was restored from a copy; the changes kept are all changes between the oldest
 * revision kept and the present one; they are bounded in number and size. Thread safety:
 * none, confined to one event loop.
 */
final class ChangeLog {

	private static final int MAX_CHANGES = 4_096;

	private static final long MAX_CHARACTERS = 2 << 20;

	private final boolean linearizable;

	private final Supplier<Timestamp> clock;

	private final Deque<Batch> batches = new ArrayDeque<>();

	private Map<String, StoredObject> objects = new HashMap<>();

	/** Whether all objects are known, not only the changed ones. */
	private boolean complete;

	private StoreRevision oldestRevision = StoreRevision.NONE;

	private StoreRevision revision = StoreRevision.NONE;

	private Optional<Timestamp> confirmedAt = Optional.empty();

	/** When the revision was learned. */
	private Optional<Timestamp> reachedAt = Optional.empty();

	private boolean storeLost;

	/** Counts the calls to the store, of which the last one may be in progress. */
	private long calls;

	private boolean callOverdue;

	private int keptChanges;

	private long keptCharacters;

	/**
	 * Creates a log without objects.
	 * @param linearizable whether an answer never shows a state before the one that held
	 * when it was asked for
	 * @param clock reads the clocks
	 */
	ChangeLog(boolean linearizable, Supplier<Timestamp> clock) {
		this.linearizable = linearizable;
		this.clock = clock;
	}

	/**
	 * Records a listing of the store.
	 * @param listing all objects
	 * @param confirmedTime the time whose state it shows at least
	 */
	void recordListing(ObjectListing listing, Timestamp confirmedTime) {
		endCall();
		this.storeLost = false;
		Map<String, StoredObject> listed = new HashMap<>();
		listing.objects().forEach((object) -> listed.put(object.key(), object));
		if (isKnown() && !listing.revision().isSameEra(this.revision)) {
			if (listing.revision().isBefore(this.revision)) {
				return;
			}
			clear();
		}
		if (isKnown() && listing.revision().isBefore(this.revision)) {
			// A linearizable listing that was asked for later shows that the store was
			// restored from a copy. One that was asked for before was overtaken by
			// changes.
			boolean isRestored = this.linearizable && this.reachedAt.filter(confirmedTime::isAfter).isPresent();
			if (!isRestored) {
				completeWith(listed, listing.revision(), confirmedTime);
				return;
			}
			clear();
		}
		if (this.complete) {
			append(difference(listed), listing.revision());
		}
		else {
			restart(listing.revision());
		}
		this.objects = listed;
		this.complete = true;
		confirm(confirmedTime);
	}

	// The present state is at least that of the listing, with the changes since then.
	private void completeWith(Map<String, StoredObject> listed, StoreRevision listedRevision, Timestamp confirmedTime) {
		if (!this.complete && hasChangesAfter(listedRevision)) {
			this.objects = listed;
			this.complete = true;
			this.batches.stream()
				.filter((batch) -> batch.toRevision().isAfter(listedRevision))
				.forEach((batch) -> withoutEarlier(batch.changes()).forEach(this::apply));
		}
		if (this.linearizable) {
			confirm(confirmedTime);
		}
	}

	private List<ObjectChange> difference(Map<String, StoredObject> listed) {
		List<ObjectChange> changes = new ArrayList<>();
		this.objects.values()
			.stream()
			.filter((object) -> !listed.containsKey(object.key()))
			.forEach((object) -> changes.add(new ObjectChange(object, true)));
		listed.values().stream().filter((object) -> {
			StoredObject known = this.objects.get(object.key());
			return known == null || !known.version().equals(object.version());
		}).forEach((object) -> changes.add(new ObjectChange(object, false)));
		return changes;
	}

	/**
	 * Records changes that the store has returned.
	 * @param afterRevision the revision after which they were asked for
	 * @param changes the changes
	 * @param confirmedTime the time whose state they show at least
	 */
	void recordChanges(StoreRevision afterRevision, ObjectChanges changes, Timestamp confirmedTime) {
		endCall();
		this.storeLost = false;
		if (isKnown() && changes.revision().isBefore(this.revision)) {
			return;
		}
		if (!isKnown() || afterRevision.isAfter(this.revision)) {
			clear();
			restart(afterRevision);
		}
		boolean isNext = afterRevision.equals(this.revision);
		List<ObjectChange> news = withoutEarlier(changes.changes());
		news.forEach(this::apply);
		if (isNext) {
			append(news, changes.revision());
		}
		else {
			// Some of the changes are known already and must not be repeated.
			restart(changes.revision());
		}
		confirm(confirmedTime);
	}

	// A listing shows some objects in a later state than that of its revision.
	private List<ObjectChange> withoutEarlier(List<ObjectChange> changes) {
		return changes.stream().filter((change) -> {
			StoredObject known = this.objects.get(change.object().key());
			return known == null || !known.version().isAfter(change.object().version());
		}).toList();
	}

	private void apply(ObjectChange change) {
		if (change.removed()) {
			this.objects.remove(change.object().key());
		}
		else if (this.complete) {
			this.objects.put(change.object().key(), change.object());
		}
	}

	private void append(List<ObjectChange> changes, StoreRevision toRevision) {
		if (!changes.isEmpty()) {
			Batch batch = new Batch(toRevision, List.copyOf(changes));
			this.batches.addLast(batch);
			this.keptChanges += changes.size();
			this.keptCharacters += batch.characters();
		}
		reach(toRevision);
		while (this.keptChanges > MAX_CHANGES || this.keptCharacters > MAX_CHARACTERS) {
			Batch oldest = this.batches.removeFirst();
			this.keptChanges -= oldest.changes().size();
			this.keptCharacters -= oldest.characters();
			this.oldestRevision = oldest.toRevision();
		}
	}

	private void restart(StoreRevision atRevision) {
		this.batches.clear();
		this.keptChanges = 0;
		this.keptCharacters = 0;
		this.oldestRevision = atRevision;
		reach(atRevision);
	}

	private void reach(StoreRevision nextRevision) {
		if (this.reachedAt.isEmpty() || !nextRevision.equals(this.revision)) {
			this.reachedAt = Optional.of(this.clock.get());
		}
		this.revision = nextRevision;
	}

	// A listing and a watch of the same VM may end in another order than they began.
	private void confirm(Timestamp confirmedTime) {
		if (this.confirmedAt.filter((known) -> known.isAfter(confirmedTime)).isEmpty()) {
			this.confirmedAt = Optional.of(confirmedTime);
		}
	}

	/**
	 * Records that the store is called.
	 * @return the number of the call
	 */
	long recordCall() {
		return ++this.calls;
	}

	/**
	 * Records that a call has had no answer for so long that the store may be lost.
	 * @param call the number of the call
	 * @return false if it has ended, or another one has begun since
	 */
	boolean markOverdue(long call) {
		this.callOverdue = call == this.calls;
		return this.callOverdue;
	}

	private void endCall() {
		this.calls++;
		this.callOverdue = false;
	}

	/** Records that a call to the store has failed. */
	void recordFailure() {
		endCall();
		this.storeLost = true;
	}

	/**
	 * Forgets everything, since this VM no longer watches or the store has returned from
	 * a copy.
	 */
	void clear() {
		restart(StoreRevision.NONE);
		this.objects = new HashMap<>();
		this.complete = false;
		this.confirmedAt = Optional.empty();
		this.storeLost = false;
		endCall();
	}

	boolean isKnown() {
		return this.confirmedAt.isPresent();
	}

	boolean isComplete() {
		return this.complete;
	}

	boolean isStoreLost() {
		return this.storeLost || this.callOverdue;
	}

	StoreRevision revision() {
		return this.revision;
	}

	/**
	 * Returns the age of the content.
	 * @param now the current time
	 * @return milliseconds, {@link Long#MAX_VALUE} if nothing is known
	 */
	long ageMillis(Timestamp now) {
		return this.confirmedAt.map(now::millisSince).orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns whether all changes after a revision are known.
	 * @param afterRevision the revision, at most the present one
	 * @return false if they are no longer kept
	 */
	boolean hasChangesAfter(StoreRevision afterRevision) {
		return isKnown() && afterRevision.isSameEra(this.revision) && !afterRevision.isBefore(this.oldestRevision);
	}

	/**
	 * Returns the last change of each object after a revision.
	 * @param afterRevision the revision
	 * @return the changes, possibly with some that were made before
	 */
	List<ObjectChange> changesAfter(StoreRevision afterRevision) {
		Map<String, ObjectChange> last = new LinkedHashMap<>();
		for (Batch batch : this.batches) {
			if (batch.toRevision().isAfter(afterRevision)) {
				batch.changes().forEach((change) -> {
					last.remove(change.object().key());
					last.put(change.object().key(), change);
				});
			}
		}
		return List.copyOf(last.values());
	}

	List<StoredObject> objects() {
		return List.copyOf(this.objects.values());
	}

	/**
	 * The changes of one answer. Thread safety: immutable.
	 *
	 * @param toRevision the revision after them
	 * @param changes the changes
	 */
	private record Batch(StoreRevision toRevision, List<ObjectChange> changes) {

		private long characters() {
			return this.changes.stream().mapToLong((change) -> change.object().value().length()).sum();
		}

	}

}
