package org.burdocktray.process.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.burdocktray.connection.peer.generated.Gossip;

/**
 * Queue of the changes still to be propagated. Invariants: at most one item per key; no
 * message exceeds the byte budget; an item is dropped after a number of sends that grows
 * with the logarithm of the number of VMs. Thread safety: none.
 */
final class GossipQueue {

	private static final int SENDS_PER_DOUBLING = 3;

	private static final int MAX_ITEMS = 8_192;

	private final Map<String, QueuedItem> items = new HashMap<>();

	private long lastSequence;

	void add(GossipItem item) {
		if (this.items.size() >= MAX_ITEMS && !this.items.containsKey(item.key())) {
			// A dropped change is still propagated by the periodic full synchronisation.
			return;
		}
		this.items.put(item.key(), new QueuedItem(item, item.fragment().getSerializedSize(), ++this.lastSequence));
	}

	Gossip nextMessage(int budgetBytes, int memberCount) {
		if (this.items.isEmpty()) {
			return Gossip.getDefaultInstance();
		}
		int maxSends = SENDS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, memberCount)));
		List<QueuedItem> leastSentFirst = new ArrayList<>(this.items.values());
		leastSentFirst.sort(Comparator.<QueuedItem>comparingInt((queued) -> queued.sends)
			.thenComparing(Comparator.<QueuedItem>comparingLong((queued) -> queued.sequence).reversed()));
		Gossip.Builder message = Gossip.newBuilder();
		int remainingBytes = budgetBytes;
		for (QueuedItem queued : leastSentFirst) {
			if (queued.bytes > remainingBytes) {
				continue;
			}
			remainingBytes -= queued.bytes;
			message.mergeFrom(queued.item.fragment());
			queued.sends++;
			if (queued.sends >= maxSends) {
				this.items.remove(queued.item.key());
			}
		}
		return message.build();
	}

	private static final class QueuedItem {

		private final GossipItem item;

		private final int bytes;

		private final long sequence;

		private int sends;

		private QueuedItem(GossipItem item, int bytes, long order) {
			this.item = item;
			this.bytes = bytes;
			this.sequence = order;
		}

	}

}
