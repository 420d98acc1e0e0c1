package org.burdocktray.process.claim;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests listing and closing claims without an outcome.
 */
class ClaimReconciliationTests {

	private static final ClaimParameters PARAMETERS = ClaimParameters.standard();

	private final TestScheduler time = new TestScheduler();

	private final FakeStore fakeStore = FakeStore.withoutFaults(this.time);

	private final PlatformStore store = this.fakeStore.connect("ghent", new PausableScheduler(this.time));

	private final ClaimClock clock = () -> new ClaimTime(this.time.now(TimeUnit.NANOSECONDS),
			this.time.now(TimeUnit.SECONDS));

	private final ClaimRegistry registry = new StoreClaimRegistry("vm-1", this.store, new NoForwarder(), PARAMETERS,
			this.time, this.clock, new SplittableRandom(1));

	private final ClaimReconciliation reconciliation = new ClaimReconciliation(this.store, PARAMETERS, this.clock);

	@Test
	void listsUnknownClaimsOnly() {
		ClaimTicket unknown = grant("k1");
		grant("k2");
		await(this.registry.recordUnknown(unknown));
		assertThat(list()).extracting(UnresolvedClaim::ticket).containsExactly(unknown);
	}

	@Test
	void listsOverdueOpenClaims() {
		ClaimTicket ticket = grant("k1");
		this.time.advanceTimeBy(601, TimeUnit.SECONDS);
		assertThat(list()).extracting(UnresolvedClaim::ticket).containsExactly(ticket);
	}

	@Test
	void replaysNoteForClaimClosedAsRun() {
		ClaimTicket ticket = recordUnknown("k1");
		assertThat(await(this.reconciliation.close(ticket, new ClaimResolution.Ran("seen in the ledger"))).isRight())
			.isTrue();
		assertThat(claim("k1")).isInstanceOfSatisfying(ClaimDecision.Replay.class,
				(replay) -> assertThat(replay.response().body()).isEqualTo("seen in the ledger"));
	}

	@Test
	void freesKeyOfClaimClosedAsNotRun() {
		ClaimTicket ticket = recordUnknown("k1");
		assertThat(await(this.reconciliation.close(ticket, new ClaimResolution.NotRun())).isRight()).isTrue();
		assertThat(claim("k1")).isInstanceOf(ClaimDecision.Granted.class);
	}

	@Test
	void refusesToCloseClaimInProgress() {
		assertThat(await(this.reconciliation.close(grant("k1"), new ClaimResolution.NotRun())))
			.isEqualTo(Either.left(ReconciliationError.NO_SUCH_CLAIM));
	}

	@Test
	void refusesToCloseClaimTwice() {
		ClaimTicket ticket = recordUnknown("k1");
		await(this.reconciliation.close(ticket, new ClaimResolution.NotRun()));
		assertThat(await(this.reconciliation.close(ticket, new ClaimResolution.Ran("too late"))))
			.isEqualTo(Either.left(ReconciliationError.NO_SUCH_CLAIM));
	}

	@Test
	void reportsUnavailableStore() {
		this.fakeStore.setOutage(true);
		assertThat(await(this.reconciliation.list())).isEqualTo(Either.left(ReconciliationError.STORE_UNAVAILABLE));
	}

	private List<UnresolvedClaim> list() {
		return await(this.reconciliation.list()).get();
	}

	private ClaimTicket recordUnknown(String key) {
		ClaimTicket ticket = grant(key);
		await(this.registry.recordUnknown(ticket));
		return ticket;
	}

	private ClaimTicket grant(String key) {
		return ((ClaimDecision.Granted) claim(key)).ticket();
	}

	private ClaimDecision claim(String key) {
		return await(this.registry.claim(new ClaimRequest("dairy", key, "0011", 2_000)));
	}

	private <T> T await(Single<T> single) {
		var observer = single.test();
		this.time.advanceTimeBy(2, TimeUnit.SECONDS);
		return observer.assertComplete().values().get(0);
	}

}
