package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.TestReplicas;
import org.burdocktray.process.limits.ReplicaLimits;
import org.burdocktray.request.forward.AttemptOutcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaHealthTests {

	private final ReplicaLoads loads = new ReplicaLoads();

	private final ReplicaHealth health = new ReplicaHealth(
			new GatewayContext(null, null, null, null, null, null, new ReplicaDirectory(0), this.loads, null, null,
					null, null, null, new LimitedReplicas(new ReplicaLimits("vm-1"), new SplittableRandom(1)), null,
					null, null, null, null, null, null, null, null, null, null, null, null, null, null, null));

	private final Replica plain = TestReplicas.replica("plain", 1);

	private final Replica engine = TestReplicas.engine("engine", "ghent", "fast", 0, 5);

	/**
	 * A partially failed replica fails some of its requests while its health check
	 * succeeds.
	 */
	@Test
	void avoidsPlainReplicaAfterOneFailure() {
		this.health.recordResponse(this.plain, true);
		assertThat(isAvoidedIn(this.plain, 400)).isTrue();
		assertThat(isAvoidedIn(this.plain, 600)).isFalse();
	}

	@Test
	void avoidsPlainReplicaLongerAfterRepeatedFailures() {
		this.health.recordResponse(this.plain, true);
		this.health.recordResponse(this.plain, true);
		this.health.recordResponse(this.plain, true);
		assertThat(isAvoidedIn(this.plain, 1_900)).isTrue();
	}

	@Test
	void successfulResponseEndsAvoidance() {
		this.health.recordResponse(this.plain, true);
		this.health.recordResponse(this.plain, false);
		assertThat(isAvoidedIn(this.plain, 0)).isFalse();
	}

	@Test
	void avoidsEngineAfterThreeConsecutiveFailures() {
		this.health.recordResponse(this.engine, true);
		this.health.recordResponse(this.engine, true);
		assertThat(isAvoidedIn(this.engine, 0)).isFalse();
		this.health.recordResponse(this.engine, true);
		assertThat(isAvoidedIn(this.engine, 1_000)).isTrue();
	}

	@Test
	void rejectionIsNotAFailure() {
		assertThat(this.health.recordFailedAttempt(this.plain, AttemptOutcome.REJECTED, Optional.empty())).isFalse();
		assertThat(this.health.recordFailedAttempt(this.plain, AttemptOutcome.LOST, Optional.empty())).isTrue();
	}

	private boolean isAvoidedIn(Replica replica, long millis) {
		return this.loads.isAvoided(replica, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
	}

}
