package org.burdocktray.process.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

import org.burdocktray.model.NetworkAddress;

/**
 * The replicas that get work, from the platform's list. Entries lapse while the
 * platform's store is away, though their replicas live. An entry that is missing when the
 * store is back therefore stays for a while, unless its replica said that it leaves.
 * Invariants: a replica that is draining or gone gets no work; of two entries with one
 * address the replica that started last is used. Thread safety: changed by one thread;
 * readers see one immutable snapshot.
 */
public final class ReplicaDirectory {

	private final long lapseGraceNanos;

	private final Map<String, Replica> entries = new LinkedHashMap<>();

	private final Map<String, Long> missingSinceNanos = new HashMap<>();

	private final AtomicReference<Map<String, List<Replica>>> usable = new AtomicReference<>(Map.of());

	private boolean storeAway;

	private long graceUntilNanos = Long.MIN_VALUE;

	/**
	 * Creates an empty directory.
	 * @param lapseGraceNanos how long after the store's return an entry may be missing
	 */
	public ReplicaDirectory(long lapseGraceNanos) {
		this.lapseGraceNanos = lapseGraceNanos;
	}

	/** Notes that the store doesn't answer. */
	public void markStoreUnavailable() {
		this.storeAway = true;
	}

	/**
	 * Takes in a whole list.
	 * @param listed all entries that name a usable or leaving replica
	 * @param nowNanos the time
	 */
	public void replaceAll(Collection<Replica> listed, long nowNanos) {
		markStoreAvailable(nowNanos);
		Set<String> names = new HashSet<>();
		for (Replica replica : listed) {
			names.add(replica.id());
			accept(replica);
		}
		for (String id : List.copyOf(this.entries.keySet())) {
			if (!names.contains(id)) {
				drop(id, nowNanos);
			}
		}
		publish();
	}

	/**
	 * Takes in one changed entry.
	 * @param replica the entry
	 * @param nowNanos the time
	 */
	public void put(Replica replica, long nowNanos) {
		markStoreAvailable(nowNanos);
		accept(replica);
		publish();
	}

	/**
	 * Takes in that an entry was removed.
	 * @param id the id of the replica
	 * @param nowNanos the time
	 */
	public void remove(String id, long nowNanos) {
		markStoreAvailable(nowNanos);
		drop(id, nowNanos);
		publish();
	}

	/**
	 * Takes in that an entry no longer names a replica, which is no lapse.
	 * @param id the id of the entry
	 */
	public void invalidate(String id) {
		this.missingSinceNanos.remove(id);
		this.entries.remove(id);
		publish();
	}

	/**
	 * Takes in the passing of time.
	 * @param nowNanos the time
	 */
	public void tick(long nowNanos) {
		if (this.storeAway || this.missingSinceNanos.isEmpty() || nowNanos - this.graceUntilNanos < 0) {
			return;
		}
		this.missingSinceNanos.keySet().forEach(this.entries::remove);
		this.missingSinceNanos.clear();
		publish();
	}

	/**
	 * Returns the replicas of a service that get work.
	 * @param service the service
	 * @return the replicas
	 */
	public List<Replica> usable(String service) {
		return this.usable.get().getOrDefault(service, List.of());
	}

	/**
	 * Returns all replicas that get work.
	 * @return the replicas by service
	 */
	public Map<String, List<Replica>> usable() {
		return this.usable.get();
	}

	/**
	 * Tells whether a replica still gets work.
	 * @param replica the replica as it was chosen
	 * @return whether that start of it is listed and not leaving
	 */
	public boolean isUsable(Replica replica) {
		Replica entry = this.entries.get(replica.id());
		return entry != null && !entry.draining() && entry.isSameInstance(replica);
	}

	/**
	 * Finds a replica by its id.
	 * @param id the id
	 * @return the replica, empty when it isn't listed
	 */
	public Optional<Replica> findById(String id) {
		return Optional.ofNullable(this.entries.get(id));
	}

	/**
	 * Finds the replica at an address.
	 * @param address the address
	 * @return the replica that started there last
	 */
	public Optional<Replica> findByAddress(NetworkAddress address) {
		return this.entries.values()
			.stream()
			.filter((replica) -> replica.address().equals(address))
			.reduce((one, other) -> (one.startedAtMillis() > other.startedAtMillis()) ? one : other);
	}

	/**
	 * Notes that the store answered.
	 * @param nowNanos the time
	 */
	public void markStoreAvailable(long nowNanos) {
		if (this.storeAway) {
			this.storeAway = false;
			this.graceUntilNanos = nowNanos + this.lapseGraceNanos;
		}
	}

	private void accept(Replica replica) {
		this.missingSinceNanos.remove(replica.id());
		this.entries.put(replica.id(), replica);
	}

	private void drop(String id, long nowNanos) {
		Replica entry = this.entries.get(id);
		if (entry == null) {
			return;
		}
		boolean mayHaveLapsed = this.graceUntilNanos != Long.MIN_VALUE && nowNanos - this.graceUntilNanos < 0;
		if (mayHaveLapsed && !entry.draining()) {
			this.missingSinceNanos.putIfAbsent(id, nowNanos);
			return;
		}
		this.missingSinceNanos.remove(id);
		this.entries.remove(id);
	}

	private void publish() {
		Map<Object, Replica> byAddress = new LinkedHashMap<>();
		for (Replica replica : this.entries.values()) {
			byAddress.merge(replica.address(), replica,
					(one, other) -> (one.startedAtMillis() > other.startedAtMillis()) ? one : other);
		}
		Map<String, List<Replica>> next = new HashMap<>();
		for (Replica replica : byAddress.values()) {
			if (!replica.draining()) {
				next.computeIfAbsent(replica.service(), (service) -> new ArrayList<>()).add(replica);
			}
		}
		next.replaceAll((service, replicas) -> List.copyOf(replicas));
		this.usable.set(Map.copyOf(next));
	}

}
