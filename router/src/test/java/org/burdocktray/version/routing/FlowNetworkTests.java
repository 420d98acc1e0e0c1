package org.burdocktray.version.routing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FlowNetworkTests {

	@Test
	void findsMaximumFlowThatRequiresReroutingThroughACrossEdge() {
		FlowNetwork network = new FlowNetwork(4);
		network.addEdge(0, 1, 10);
		network.addEdge(0, 2, 10);
		int cross = network.addEdge(1, 2, 1);
		network.addEdge(1, 3, 8);
		network.addEdge(2, 3, 10);
		assertThat(network.augment(0, 3)).isEqualTo(18);
		assertThat(network.flow(cross)).isBetween(0L, 1L);
	}

	@Test
	void augmentingAfterACapacityIncreaseAddsTheAdditionalFlow() {
		FlowNetwork network = new FlowNetwork(3);
		int bottleneck = network.addEdge(0, 1, 3);
		network.addEdge(1, 2, 10);
		assertThat(network.augment(0, 2)).isEqualTo(3);
		network.raiseCapacity(bottleneck, 4);
		assertThat(network.augment(0, 2)).isEqualTo(4);
		assertThat(network.flow(bottleneck)).isEqualTo(7);
	}

	@Test
	void determinesTheSideOfTheMinimumCut() {
		FlowNetwork network = new FlowNetwork(3);
		network.addEdge(0, 1, 10);
		network.addEdge(1, 2, 4);
		network.augment(0, 2);
		assertThat(network.isOnSourceSide(1)).isTrue();
		assertThat(network.isOnSourceSide(2)).isFalse();
	}

}
