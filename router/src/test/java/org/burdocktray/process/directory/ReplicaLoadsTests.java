package org.burdocktray.process.directory;

import java.util.Optional;

import org.burdocktray.model.DataCentre;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaLoadsTests {

	private final ReplicaLoads loads = new ReplicaLoads();

	private final Replica engine = TestReplicas.engine("e", "ghent", "fast", 0, 5);

	@Test
	void requestsSentAfterTheReportAreAddedToIt() {
		this.loads.recordReport(this.engine, TestReplicas.report(0, false, 1_000), 0);
		this.loads.recordSend(this.engine, 500, 0);
		assertThat(this.loads.kvUsed(this.engine)).isEqualTo(1_500);
	}

	@Test
	void ownRequestsAreCountedWhenTheReportDoesNotIncludeThem() {
		this.loads.recordSend(this.engine, 500, 0);
		this.loads.recordReport(this.engine, TestReplicas.report(0, false, 0), 0);
		assertThat(this.loads.kvUsed(this.engine)).isEqualTo(500);
		this.loads.recordEnd(this.engine, 500);
		assertThat(this.loads.kvUsed(this.engine)).isZero();
	}

	@Test
	void exclusionEndsAfterItsTimeOrASuccess() {
		this.loads.avoid(this.engine, 100);
		assertThat(this.loads.isAvoided(this.engine, 99)).isTrue();
		assertThat(this.loads.isAvoided(this.engine, 100)).isFalse();
		this.loads.avoid(this.engine, 200);
		this.loads.recordSuccess(this.engine);
		assertThat(this.loads.isAvoided(this.engine, 150)).isFalse();
	}

	/**
	 * Guards against streams cut for want of an engine that responded again long before.
	 */
	@Test
	void nextReportEndsExclusionForSilenceOnly() {
		this.loads.avoidSilent(this.engine, 100);
		assertThat(this.loads.isAvoided(this.engine, 50)).isTrue();
		this.loads.recordReport(this.engine, TestReplicas.report(0, false, 0), 60);
		assertThat(this.loads.isAvoided(this.engine, 70)).isFalse();
		this.loads.avoid(this.engine, 200);
		this.loads.recordReport(this.engine, TestReplicas.report(0, false, 0), 150);
		assertThat(this.loads.isAvoided(this.engine, 150)).isTrue();
	}

	@Test
	void stateIsResetWhenAReplicaRestartsWithTheSameId() {
		this.loads.avoid(this.engine, 100);
		this.loads.recordSend(this.engine, 500, 0);
		Replica restarted = new Replica("e", 2, "s", this.engine.address(), new DataCentre("ghent"), 4, false,
				Optional.of("fast"), this.engine.layers());
		assertThat(this.loads.isAvoided(restarted, 50)).isFalse();
		assertThat(this.loads.kvUsed(restarted)).isZero();
	}

}
