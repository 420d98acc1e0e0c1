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
import org.burdocktray.connection.platform.StoredObject;

/**
 * A store in virtual time with the state of its objects, their changes, and watches that
 * wait. Thread safety: none.
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

	VirtualStore(VirtualTime time) {
		this.time = time;
	}

	void put(String kind, String key, String value) {
		this.revision++;
		StoredObject object = new StoredObject(key, this.revision, value);
		this.objects.computeIfAbsent(kind, (absent) -> new TreeMap<>()).put(key, object);
		record(kind, new ObjectChange(object, false));
	}

	void remove(String kind, String key) {
		this.revision++;
		record(kind, new ObjectChange(this.objects.get(kind).remove(key), true));
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
		onEnd.accept(Either
			.right(new ObjectListing(List.copyOf(this.objects.getOrDefault(kind, Map.of()).values()), this.revision)));
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
					: Either.right(new ObjectChanges(changesAfter(watch.kind(), watch.after()), this.revision)));
	}

	private List<ObjectChange> changesAfter(String kind, long after) {
		return this.history.stream()
			.filter((change) -> change.revision() > after && change.kind().equals(kind))
			.map(Change::change)
			.toList();
	}

	private record Change(String kind, long revision, ObjectChange change) {

	}

	private record Watch(String vm, String kind, long after, Consumer<Either<StoreError, ObjectChanges>> onEnd) {

	}

}
