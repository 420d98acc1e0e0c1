package org.burdocktray.process.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.burdocktray.connection.peer.generated.DrainMark;
import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.process.membership.GossipItem;
import org.burdocktray.process.membership.GossipTopic;

/**
 * Tracks the upstreams that are leaving. The first indication from any source marks an
 * upstream, and the mark is propagated to all VMs immediately. The generation of a mark
 * only increases: it is odd while the upstream is leaving and even once it has returned,
 * so that marks merge by their maximum.
 *
 * Invariants: a stale indication that an upstream is live never clears a mark. The
 * upstream's own mark is cleared by a load report that was requested after the last
 * indication of leaving. Both marks are cleared when the platform's list shows the
 * upstream as live and no indication of leaving has been received for longer than the
 * maximum lag of the list. Thread safety: {@link #isLeaving} can be called from any
 * thread and never blocks; all other methods are called by one thread at a time.
 */
public final class UpstreamDrain implements GossipTopic {

	private static final long MAX_LIST_LAG_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final int MAX_MARKS = 10_000;

	private final Map<Key, Mark> marks = new HashMap<>();

	private final List<GossipItem> localChanges = new ArrayList<>();

	private volatile Set<String> leaving = Set.of();

	/**
	 * Returns whether an upstream must not receive new work.
	 * @param upstreamName the name of the upstream
	 * @return true while it is marked as leaving
	 */
	public boolean isLeaving(String upstreamName) {
		return this.leaving.contains(upstreamName);
	}

	/**
	 * Returns the upstreams that must not receive new work.
	 * @return the names
	 */
	public Set<String> leavingUpstreams() {
		return this.leaving;
	}

	/**
	 * Handles the platform's list, which must have been read from the platform
	 * immediately before.
	 * @param upstreams the upstreams in the list
	 * @param nowNanos the time
	 */
	public void onPlatformList(List<ListedUpstream> upstreams, long nowNanos) {
		for (ListedUpstream upstream : upstreams) {
			if (upstream.leaving()) {
				markLeaving(new Key(upstream.name(), DrainSource.PLATFORM), nowNanos);
			}
			else {
				clearIfLagElapsed(upstream.name(), nowNanos);
			}
		}
		updateLeaving();
	}

	/**
	 * Handles an upstream's load report.
	 * @param upstreamName the name of the upstream
	 * @param reportedLeaving whether it reports that it is leaving
	 * @param requestedAtNanos the time at which the report was requested
	 * @param nowNanos the time
	 */
	public void onLoadReport(String upstreamName, boolean reportedLeaving, long requestedAtNanos, long nowNanos) {
		Key key = new Key(upstreamName, DrainSource.UPSTREAM);
		if (reportedLeaving) {
			markLeaving(key, nowNanos);
		}
		else {
			findLeavingMark(key).filter((mark) -> requestedAtNanos - mark.lastIndicationNanos > 0)
				.ifPresent((mark) -> clear(key, mark, nowNanos));
		}
		updateLeaving();
	}

	/**
	 * Handles the refusal of a request by an upstream that is leaving.
	 * @param upstreamName the name of the upstream
	 * @param nowNanos the time
	 */
	public void onLeavingRefusal(String upstreamName, long nowNanos) {
		markLeaving(new Key(upstreamName, DrainSource.UPSTREAM), nowNanos);
		updateLeaving();
	}

	@Override
	public List<GossipItem> merge(Gossip gossip, long nowNanos) {
		List<GossipItem> changes = new ArrayList<>();
		for (DrainMark received : gossip.getDrainMarksList()) {
			if (received.getSourceValue() < 0 || received.getSourceValue() >= DrainSource.values().length) {
				continue;
			}
			Key key = new Key(received.getUpstream(), DrainSource.values()[received.getSourceValue()]);
			Mark current = this.marks.get(key);
			if (current == null || received.getGeneration() > current.generation) {
				putMark(key, new Mark(received.getGeneration(), nowNanos));
				changes.add(item(key, received.getGeneration()));
			}
		}
		if (!changes.isEmpty()) {
			updateLeaving();
		}
		return changes;
	}

	@Override
	public Gossip table(long nowNanos) {
		Gossip.Builder table = Gossip.newBuilder();
		this.marks.forEach((key, mark) -> table.addDrainMarks(encode(key, mark.generation)));
		return table.build();
	}

	@Override
	public List<GossipItem> takeLocalChanges(long nowNanos) {
		List<GossipItem> taken = List.copyOf(this.localChanges);
		this.localChanges.clear();
		return taken;
	}

	private Optional<Mark> findLeavingMark(Key key) {
		return Optional.ofNullable(this.marks.get(key)).filter(Mark::isLeaving);
	}

	private void markLeaving(Key key, long nowNanos) {
		Mark current = this.marks.getOrDefault(key, new Mark(0, nowNanos));
		if (current.isLeaving()) {
			putMark(key, new Mark(current.generation, nowNanos));
			return;
		}
		changeGeneration(key, current.generation + 1, nowNanos);
	}

	private void clearIfLagElapsed(String upstreamName, long nowNanos) {
		for (DrainSource source : DrainSource.values()) {
			Key key = new Key(upstreamName, source);
			findLeavingMark(key).filter((mark) -> nowNanos - mark.lastIndicationNanos > MAX_LIST_LAG_NANOS)
				.ifPresent((mark) -> clear(key, mark, nowNanos));
		}
	}

	private void clear(Key key, Mark mark, long nowNanos) {
		changeGeneration(key, mark.generation + 1, nowNanos);
	}

	private void changeGeneration(Key key, long generation, long nowNanos) {
		putMark(key, new Mark(generation, nowNanos));
		this.localChanges.add(item(key, generation));
	}

	private void putMark(Key key, Mark mark) {
		this.marks.put(key, mark);
		if (this.marks.size() > MAX_MARKS) {
			this.marks.entrySet()
				.stream()
				.min(Comparator.comparingLong((entry) -> entry.getValue().lastIndicationNanos))
				.map(Map.Entry::getKey)
				.ifPresent(this.marks::remove);
		}
	}

	private void updateLeaving() {
		this.leaving = this.marks.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isLeaving())
			.map((entry) -> entry.getKey().upstream())
			.collect(Collectors.toUnmodifiableSet());
	}

	private static GossipItem item(Key key, long generation) {
		Gossip fragment = Gossip.newBuilder().addDrainMarks(encode(key, generation)).build();
		return new GossipItem("drain/" + key.source() + '/' + key.upstream(), fragment, isLeaving(generation));
	}

	private static DrainMark encode(Key key, long generation) {
		return DrainMark.newBuilder()
			.setUpstream(key.upstream())
			.setSourceValue(key.source().ordinal())
			.setGeneration(generation)
			.build();
	}

	private static boolean isLeaving(long generation) {
		return generation % 2 != 0;
	}

	private record Key(String upstream, DrainSource source) {

	}

	private record Mark(long generation, long lastIndicationNanos) {

		private boolean isLeaving() {
			return UpstreamDrain.isLeaving(this.generation);
		}

	}

}
