package org.burdocktray.process.serve.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;

/**
 * A store in virtual time with the state of its objects, their changes, and watches that
 * wait. It may return from a copy, which begins an era. Thread safety: none.
 */
final class VirtualStore {

	private final VirtualTime time;

	private final Map<String, Map<String, StoredObject>> objects = new HashMap<>();

	private final List<Change> history = new ArrayList<>();

	private final List<Watch> watches = new ArrayList<>();

	final Set<String> rejectedVms = new HashSet<>();

	boolean available = true;

	long calls;

	private long revision = 1;

	long era = 1;

	VirtualStore(VirtualTime time) {
		this.time = time;
	}

	/** Returns the state to which {@link #returnFrom} goes back. */
	Copy copy() {
		Map<String, Map<String, StoredObject>> copied = new HashMap<>();
		this.objects.forEach((kind, stored) -> copied.put(kind, new TreeMap<>(stored)));
		return new Copy(copied, this.revision);
	}

	/** Falls silent for all callers; calls in progress get no answer. */
	void leave() {
		this.available = false;
		this.watches.clear();
	}

	/** Answers again, from a copy. */
	void returnFrom(Copy copy) {
		this.revision = copy.revision();
		this.era++;
		this.objects.clear();
		copy.objects().forEach((kind, stored) -> {
			Map<String, StoredObject> returned = new TreeMap<>(stored);
			returned.replaceAll((key, object) -> ofPresentEra(object));
			this.objects.put(kind, returned);
		});
		this.history.removeIf((change) -> change.revision() > copy.revision());
		this.history.replaceAll((change) -> new Change(change.kind(), change.revision(),
				new ObjectChange(ofPresentEra(change.change().object()), change.change().removed())));
		this.available = true;
	}

	void put(String kind, String key, String value) {
		this.revision++;
		StoredObject object = new StoredObject(key, currentRevision(), value);
		this.objects.computeIfAbsent(kind, (absent) -> new TreeMap<>()).put(key, object);
		record(kind, new ObjectChange(object, false));
	}

	void remove(String kind, String key) {
		this.revision++;
		record(kind, new ObjectChange(this.objects.get(kind).remove(key), true));
	}

	// Answers tell the era of the store, not that of the write.
	private StoredObject ofPresentEra(StoredObject object) {
		return new StoredObject(object.key(), new StoreRevision(this.era, object.version().number()), object.value());
	}

	private StoreRevision currentRevision() {
		return new StoreRevision(this.era, this.revision);
	}

	private void record(String kind, ObjectChange change) {
		this.history.add(new Change(kind, this.revision, change));
		List<Watch> waiting = this.watches.stream().filter((watch) -> watch.kind().equals(kind)).toList();
		this.watches.removeAll(waiting);
		waiting.forEach(this::answer);
	}

	private boolean rejects(String vm) {
		return !this.available || this.rejectedVms.contains(vm);
	}

	void list(String vm, String kind, Consumer<Either<StoreError, ObjectListing>> onEnd) {
		this.calls++;
		if (rejects(vm)) {
			onEnd.accept(Either.left(StoreError.UNAVAILABLE));
			return;
		}
		onEnd.accept(Either.right(
				new ObjectListing(List.copyOf(this.objects.getOrDefault(kind, Map.of()).values()), currentRevision())));
	}

	void await(String vm, String kind, long after, long waitMillis, Consumer<Either<StoreError, ObjectChanges>> onEnd) {
		this.calls++;
		Watch watch = new Watch(vm, kind, after, onEnd);
		if (rejects(vm) || !changesAfter(kind, after).isEmpty()) {
			answer(watch);
			return;
		}
		this.watches.add(watch);
		this.time.schedule(waitMillis, () -> {
			if (this.watches.remove(watch)) {
				answer(watch);
			}
		});
	}

	/** Ends the waits of the VMs that are rejected from now on. */
	void endRejectedWatches() {
		List<Watch> rejected = this.watches.stream().filter((watch) -> rejects(watch.vm())).toList();
		this.watches.removeAll(rejected);
		rejected.forEach(this::answer);
	}

	private void answer(Watch watch) {
		watch.onEnd()
			.accept(rejects(watch.vm()) ? Either.left(StoreError.UNAVAILABLE)
					: Either.right(new ObjectChanges(changesAfter(watch.kind(), watch.after()), currentRevision())));
	}

	private List<ObjectChange> changesAfter(String kind, long after) {
		return this.history.stream()
			.filter((change) -> change.revision() > after && change.kind().equals(kind))
			.map(Change::change)
			.toList();
	}

	/**
	 * A state of the store.
	 */
	record Copy(Map<String, Map<String, StoredObject>> objects, long revision) {

	}

	private record Change(String kind, long revision, ObjectChange change) {

	}

	private record Watch(String vm, String kind, long after, Consumer<Either<StoreError, ObjectChanges>> onEnd) {

	}

}
