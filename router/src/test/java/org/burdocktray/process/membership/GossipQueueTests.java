package org.burdocktray.process.membership;

import java.util.stream.IntStream;

import org.burdocktray.connection.peer.generated.DrainMark;
import org.burdocktray.connection.peer.generated.Gossip;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the size limit of messages and the number of sends per change.
 */
class GossipQueueTests {

	private static final int BUDGET_BYTES = 100;

	private static final int MEMBERS = 9;

	private final GossipQueue queue = new GossipQueue();

	@Test
	void neverExceedsTheBudgetAndSendsAllChanges() {
		IntStream.range(0, 50).forEach((index) -> this.queue.add(item("upstream-" + index, 1)));
		long distinct = IntStream.range(0, 20)
			.mapToObj((message) -> this.queue.nextMessage(BUDGET_BYTES, MEMBERS))
			.peek((message) -> assertThat(message.getSerializedSize()).isLessThanOrEqualTo(BUDGET_BYTES))
			.flatMap((message) -> message.getDrainMarksList().stream())
			.distinct()
			.count();
		assertThat(distinct).isEqualTo(50);
	}

	@Test
	void dropsAChangeAfterTheMaximumNumberOfSends() {
		this.queue.add(item("upstream", 1));
		long sends = IntStream.range(0, 100)
			.filter((message) -> this.queue.nextMessage(BUDGET_BYTES, MEMBERS).getDrainMarksCount() > 0)
			.count();
		assertThat(sends).isEqualTo(12);
	}

	@Test
	void replacesAnOlderChangeOfTheSameKey() {
		this.queue.add(item("upstream", 1));
		this.queue.add(item("upstream", 2));
		assertThat(this.queue.nextMessage(BUDGET_BYTES, MEMBERS).getDrainMarksList())
			.extracting(DrainMark::getGeneration)
			.containsExactly(2L);
	}

	private static GossipItem item(String upstream, long generation) {
		DrainMark mark = DrainMark.newBuilder().setUpstream(upstream).setGeneration(generation).build();
		return new GossipItem(upstream, Gossip.newBuilder().addDrainMarks(mark).build(), false);
	}

}
