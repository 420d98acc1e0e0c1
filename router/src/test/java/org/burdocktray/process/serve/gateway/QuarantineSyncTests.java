package org.burdocktray.process.serve.gateway;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import org.burdocktray.connection.peer.generated.CrashEvidence;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.burdocktray.process.quarantine.Fingerprint;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineSettings;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.process.quarantine.RunOutcome;
import org.burdocktray.process.restore.StoreEras;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a VM tells others of its quarantine.
 */
class QuarantineSyncTests {

	private static final RequestIdentity REQUEST = RequestIdentity
		.withoutParts(new Fingerprint("acme", "0a".repeat(32)));

	private final Vertx vertx = Vertx.vertx();

	private final Quarantine quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-1");

	private final List<SharedLoads> datagrams = new ArrayList<>();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * Guards against losses that stayed unresolved because their evidence could not be
	 * stored any more: the store's client throws once it has been closed.
	 */
	@Test
	void storeThatThrowsIsOneThatDoesNotWrite() {
		sync(() -> {
			throw new IllegalStateException("Client is closed");
		}).save();
		assertThat(this.datagrams).hasSize(1);
	}

	/**
	 * Guards against evidence that other VMs did not hear of until a write was answered.
	 */
	@Test
	void evidenceIsSentOnceDuringUnansweredWrite() {
		assertNewEvidenceIsSentOnce(sync(Single::never));
	}

	/** Guards against evidence that waited for the pause after a failed write. */
	@Test
	void evidenceIsSentOnceAfterFailedWrite() {
		assertNewEvidenceIsSentOnce(sync(() -> Single.just(Either.left(StoreError.UNAVAILABLE))));
	}

	private void assertNewEvidenceIsSentOnce(QuarantineSync sync) {
		sync.save();
		sync.save();
		assertThat(this.datagrams).hasSize(1);
		crash("desk-2");
		sync.save();
		assertThat(this.datagrams).hasSize(2);
		assertThat(this.datagrams.get(1).getQuarantine(0).getCrashesCount()).isEqualTo(2);
		this.quarantine.recordStart(REQUEST, Set.of("desk-3"), System.nanoTime());
		sync.save();
		assertThat(this.datagrams).as("a run is no evidence").hasSize(2);
	}

	/**
	 * Guards against sound requests that other VMs held back, since they heard of the
	 * evidence but not of its dismissal.
	 */
	@Test
	void dismissalOfSentEvidenceIsSent() {
		QuarantineSync sync = sync(Single::never);
		sync.save();
		crash("desk-2");
		sync.save();
		String run = this.quarantine.recordStart(REQUEST, Set.of("desk-3"), System.nanoTime());
		this.quarantine.recordEnd(run, RunOutcome.SUCCEEDED, System.nanoTime());
		sync.save();
		assertThat(this.datagrams).hasSize(3);
		assertThat(this.datagrams.get(2).getQuarantine(0).getCrashesList()).hasSize(2)
			.allMatch(CrashEvidence::getDismissed);
	}

	private void crash(String upstream) {
		String run = this.quarantine.recordStart(REQUEST, Set.of(upstream), System.nanoTime());
		this.quarantine.recordCrash(upstream, System.nanoTime());
		this.quarantine.recordEnd(run, RunOutcome.ENDED, System.nanoTime());
		this.quarantine.recordGivenUp(REQUEST, System.nanoTime());
	}

	private QuarantineSync sync(Supplier<Object> answer) {
		crash("desk-1");
		PlatformStore store = (PlatformStore) Proxy.newProxyInstance(PlatformStore.class.getClassLoader(),
				new Class<?>[] { PlatformStore.class }, (proxy, method, arguments) -> answer.get());
		return new QuarantineSync(this.vertx, this.quarantine,
				new GatewayAdapter(null, null, store, null, null, new StoreEras(Timestamp::now), null), null,
				this.datagrams::add);
	}

}
