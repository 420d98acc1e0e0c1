package org.burdocktray.request.path;

import java.util.List;
import java.util.Random;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.TestReplicas;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class PathSearchTests {

	private static final PathDemand DEMAND = new PathDemand(100, 50, 1);

	private final ReplicaLoads loads = new ReplicaLoads();

	private final PathSearch search = new PathSearch(new DataCentre("ghent"), this.loads, new Random(1));

	private final Replica head = TestReplicas.engine("head", "ghent", "fast", 0, 5);

	private final Replica tail = TestReplicas.engine("tail", "ghent", "fast", 5, 10);

	private final Replica slowTail = TestReplicas.engine("slow", "ghent", "slow", 7, 10);

	private final Replica overlap = TestReplicas.engine("overlap", "ghent", "slow", 4, 7);

	@Test
	void prefersFastEngines() {
		assertThat(ids(this.head, this.tail, this.slowTail, this.overlap)).containsExactly("head", "tail");
	}

	@Test
	void replacesMissingEngineByOverlappingEngines() {
		LayerPath path = this.search.find(List.of(this.head, this.slowTail, this.overlap), DEMAND, TestReplicas.PROFILE)
			.orElseThrow();
		assertThat(path.stages()).extracting((part) -> part.replica().id()).containsExactly("head", "overlap", "slow");
		assertThat(path.stages().get(1).layers()).isEqualTo(new LayerRange(5, 7));
	}

	@Test
	void findsNoPathWhenLayerIsNotHeld() {
		assertThat(this.search.find(List.of(this.head, this.slowTail), DEMAND, TestReplicas.PROFILE)).isEmpty();
	}

	@Test
	void staysInLocalDataCentreIfItHoldsAllLayers() {
		Replica remoteHead = TestReplicas.engine("far-head", "leuven", "fast", 0, 5);
		Replica remoteTail = TestReplicas.engine("far-tail", "leuven", "fast", 5, 10);
		assertThat(ids(this.head, this.tail, remoteHead, remoteTail)).containsExactly("head", "tail");
		assertThat(ids(this.head, remoteHead, remoteTail)).containsExactly("far-head", "far-tail");
		assertThat(ids(this.head, remoteTail)).containsExactly("head", "far-tail");
	}

	@Test
	void avoidsEngineWithoutFreeCache() {
		this.loads.recordSend(this.tail, 199_900, 0);
		assertThat(ids(this.head, this.tail, this.slowTail, this.overlap)).containsExactly("head", "overlap", "slow");
	}

	@Test
	void findAfterKeepsFirstStage() {
		PathStage first = new PathStage(this.head, new LayerRange(0, 5));
		LayerPath path = this.search
			.findAfter(first, List.of(this.slowTail, this.overlap), DEMAND, TestReplicas.PROFILE)
			.orElseThrow();
		assertThat(path.head()).isEqualTo(this.head);
		assertThat(path.layerCount()).isEqualTo(10);
	}

	@Test
	void layerPathRejectsGapsLayersNotHeldAndEmptyPaths() {
		PathStage first = new PathStage(this.head, new LayerRange(0, 5));
		PathStage gap = new PathStage(this.slowTail, new LayerRange(7, 10));
		PathStage notHeld = new PathStage(this.overlap, new LayerRange(5, 9));
		assertThatIllegalArgumentException().isThrownBy(() -> new LayerPath(List.of(first, gap)));
		assertThatIllegalArgumentException().isThrownBy(() -> new LayerPath(List.of(first, notHeld)));
		assertThatIllegalArgumentException().isThrownBy(() -> new LayerPath(List.of()));
	}

	private List<String> ids(Replica... engines) {
		return this.search.find(List.of(engines), DEMAND, TestReplicas.PROFILE)
			.orElseThrow()
			.stages()
			.stream()
			.map((part) -> part.replica().id())
			.toList();
	}

}
