package org.burdocktray.process.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.burdocktray.model.NetworkAddress;

/**
 * The usable replicas according to the platform's store. Entries expire while the store
 * is unavailable, even if their replicas are running. An entry that is missing when the
 * store is available again is therefore kept for a grace period, unless its replica is
 * draining. A replica that says that it leaves counts as draining until its address is
 * that of another instance, whatever its entry states. When the store returns from a
 * copy, its entries may show draining replicas as ready and list removed ones again;
 * draining replicas stay so, and those that were removed lately are not used until the
 * replicas have written again. Invariants: a draining or removed replica is not usable;
 * of two entries with the same address, the replica with the latest start time is used.
 * The snapshot of the usable replicas is made anew once for a group of changes, and not
 * for entries that change nothing, since it takes as long as there are replicas. Thread
 * safety: modified by one thread; readers of the usable replicas see an immutable
 * snapshot.
 */
public final class ReplicaDirectory {

	/** Instances that are gone are not removed otherwise. */
	private static final int MAX_INSTANCES = 4_096;

	/** Longer than a store may go back when it returns from a copy. */
	private static final long REMEMBERED_REMOVAL_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final long gracePeriodNanos;

	private final Map<String, Replica> entries = new LinkedHashMap<>();

	/** The instances that have said that they leave, the latest last. */
	private final Set<Instance> leaving = new LinkedHashSet<>();

	private final Map<String, Long> missingSinceNanos = new HashMap<>();

	/** When instances were removed, the latest last. */
	private final Map<Instance, Long> removedNanos = new LinkedHashMap<>();

	/** Instances that a copy of the store may list although they were removed. */
	private final Set<Instance> withheld = new HashSet<>();

	private long withheldUntilNanos;

	private final AtomicReference<Map<String, List<Replica>>> usable = new AtomicReference<>(Map.of());

	private boolean storeUnavailable;

	private boolean applyingChanges;

	/** Whether the snapshot is older than the entries. */
	private boolean changed;

	private long graceEndNanos = Long.MIN_VALUE;

	/**
	 * Creates an empty directory.
	 * @param gracePeriodNanos how long a missing entry is kept after the store is
	 * available again
	 */
	public ReplicaDirectory(long gracePeriodNanos) {
		this.gracePeriodNanos = gracePeriodNanos;
	}

	/**
	 * Makes several changes. Readers see them all at once, when the last one is made.
	 * @param changes calls the methods of this object that change entries
	 */
	public void applyTogether(Runnable changes) {
		this.applyingChanges = true;
		try {
			changes.run();
		}
		finally {
			this.applyingChanges = false;
			if (this.changed) {
				publish();
			}
		}
	}

	/** Records that the store does not respond. */
	public void markStoreUnavailable() {
		this.storeUnavailable = true;
	}

	/**
	 * Handles that the store has returned from a copy, before its entries are listed.
	 * @param settleNanos how long the replicas may take to write again
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void onStoreRestored(long settleNanos, long nowNanos) {
		this.graceEndNanos = nowNanos + this.gracePeriodNanos;
		this.entries.values().stream().filter(Replica::draining).map(Instance::of).forEach(this::addLeaving);
		this.removedNanos.values().removeIf((removed) -> nowNanos - removed > REMEMBERED_REMOVAL_NANOS);
		this.withheld.addAll(this.removedNanos.keySet());
		this.withheldUntilNanos = nowNanos + settleNanos;
		publish();
	}

	/**
	 * Replaces all entries.
	 * @param listed all valid entries, including those of draining replicas
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void replaceAll(Collection<Replica> listed, long nowNanos) {
		markStoreAvailable(nowNanos);
		Set<String> ids = new HashSet<>();
		for (Replica replica : listed) {
			ids.add(replica.id());
			addEntry(replica);
		}
		for (String id : List.copyOf(this.entries.keySet())) {
			if (!ids.contains(id)) {
				removeEntry(id, nowNanos);
			}
		}
		publish();
	}

	/**
	 * Adds or replaces an entry.
	 * @param replica the new content of the entry
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void put(Replica replica, long nowNanos) {
		markStoreAvailable(nowNanos);
		addEntry(replica);
		publish();
	}

	/**
	 * Handles the removal of an entry from the store.
	 * @param id the id of the replica
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void remove(String id, long nowNanos) {
		markStoreAvailable(nowNanos);
		removeEntry(id, nowNanos);
		publish();
	}

	/**
	 * Removes an entry whose content is invalid. Since such an entry has not expired, it
	 * gets no grace period.
	 * @param id the id of the entry
	 */
	public void invalidate(String id) {
		this.missingSinceNanos.remove(id);
		if (this.entries.remove(id) != null) {
			publish();
		}
	}

	/**
	 * Records that a replica has said that it leaves.
	 * @param id the id of the replica
	 * @param startedAtMillis when the instance started, in milliseconds since 1970
	 * @return whether this was not known yet
	 */
	public boolean markLeaving(String id, long startedAtMillis) {
		if (!addLeaving(new Instance(id, startedAtMillis))) {
			return false;
		}
		publish();
		return true;
	}

	private boolean addLeaving(Instance instance) {
		if (!this.leaving.add(instance)) {
			return false;
		}
		if (this.leaving.size() > MAX_INSTANCES) {
			this.leaving.remove(this.leaving.iterator().next());
		}
		return true;
	}

	/**
	 * Removes the missing entries when the grace period has ended.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void tick(long nowNanos) {
		if (!this.withheld.isEmpty() && nowNanos - this.withheldUntilNanos >= 0) {
			this.withheld.clear();
			publish();
		}
		if (this.storeUnavailable || this.missingSinceNanos.isEmpty() || nowNanos - this.graceEndNanos < 0) {
			return;
		}
		this.missingSinceNanos.keySet().forEach((id) -> dropEntry(id, nowNanos));
		this.missingSinceNanos.clear();
		publish();
	}

	/**
	 * Returns the usable replicas of a service.
	 * @param service the name of the service
	 * @return the replicas, possibly none
	 */
	public List<Replica> usable(String service) {
		return this.usable.get().getOrDefault(service, List.of());
	}

	/**
	 * Returns all usable replicas.
	 * @return the replicas by the name of their service
	 */
	public Map<String, List<Replica>> usable() {
		return this.usable.get();
	}

	/**
	 * Returns all listed replicas, also those that are draining.
	 * @return the replicas
	 */
	public List<Replica> listed() {
		return List.copyOf(this.entries.values());
	}

	/**
	 * Returns whether a replica is still usable.
	 * @param replica the replica as it was selected
	 * @return true if the same running instance is listed and not draining
	 */
	public boolean isUsable(Replica replica) {
		Replica entry = this.entries.get(replica.id());
		return entry != null && mayReceive(entry) && entry.isSameInstance(replica);
	}

	/**
	 * Finds a replica by its id.
	 * @param id the id
	 * @return the replica, empty if it is not listed
	 */
	public Optional<Replica> findById(String id) {
		return Optional.ofNullable(this.entries.get(id));
	}

	/**
	 * Finds the replica at an address.
	 * @param address the address
	 * @return the replica with the latest start time, empty if none has this address
	 */
	public Optional<Replica> findByAddress(NetworkAddress address) {
		return this.entries.values()
			.stream()
			.filter((replica) -> replica.address().equals(address))
			.reduce((first, second) -> (first.startedAtMillis() > second.startedAtMillis()) ? first : second);
	}

	/**
	 * Records that the store responded. Starts the grace period if the store was
	 * unavailable.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void markStoreAvailable(long nowNanos) {
		if (this.storeUnavailable) {
			this.storeUnavailable = false;
			this.graceEndNanos = nowNanos + this.gracePeriodNanos;
		}
	}

	private void addEntry(Replica replica) {
		this.missingSinceNanos.remove(replica.id());
		this.entries.put(replica.id(), replica);
	}

	private void removeEntry(String id, long nowNanos) {
		Replica entry = this.entries.get(id);
		if (entry == null) {
			return;
		}
		boolean mayHaveExpired = this.graceEndNanos != Long.MIN_VALUE && nowNanos - this.graceEndNanos < 0;
		if (mayHaveExpired && !isDraining(entry)) {
			this.missingSinceNanos.putIfAbsent(id, nowNanos);
			return;
		}
		this.missingSinceNanos.remove(id);
		dropEntry(id, nowNanos);
	}

	private void dropEntry(String id, long nowNanos) {
		Replica dropped = this.entries.remove(id);
		if (dropped == null) {
			return;
		}
		Instance instance = Instance.of(dropped);
		this.removedNanos.remove(instance);
		this.removedNanos.put(instance, nowNanos);
		if (this.removedNanos.size() > MAX_INSTANCES) {
			this.removedNanos.remove(this.removedNanos.keySet().iterator().next());
		}
	}

	private boolean isDraining(Replica entry) {
		return entry.draining() || this.leaving.contains(Instance.of(entry));
	}

	private boolean mayReceive(Replica entry) {
		return !isDraining(entry) && !this.withheld.contains(Instance.of(entry));
	}

	private void publish() {
		this.changed = this.applyingChanges;
		if (this.applyingChanges) {
			return;
		}
		Map<Object, Replica> byAddress = new LinkedHashMap<>();
		for (Replica replica : this.entries.values()) {
			byAddress.merge(replica.address(), replica,
					(first, second) -> (first.startedAtMillis() > second.startedAtMillis()) ? first : second);
		}
		Map<String, List<Replica>> next = new HashMap<>();
		for (Replica replica : byAddress.values()) {
			if (mayReceive(replica)) {
				next.computeIfAbsent(replica.service(), (service) -> new ArrayList<>()).add(replica);
			}
		}
		next.replaceAll((service, replicas) -> List.copyOf(replicas));
		this.usable.set(Map.copyOf(next));
	}

	/**
	 * A running instance of a replica.
	 *
	 * @param id the id, which may be the same after a restart
	 * @param startedAtMillis the start time in milliseconds since 1970
	 */
	private record Instance(String id, long startedAtMillis) {

		private static Instance of(Replica replica) {
			return new Instance(replica.id(), replica.startedAtMillis());
		}

	}

}
