package org.burdocktray.process.claim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.model.RefusalReason;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests claims through the registry, with and without a preferred VM.
 */
class StoreClaimRegistryTests {

	private static final ClaimParameters PARAMETERS = new ClaimParameters(4, 50, 200, 100, 500, 500, 2_000,
			ClaimRetention.standard());

	private static final int THREADS = 8;

	private static final int CLAIMS_PER_THREAD = 50;

	private final TestScheduler time = new TestScheduler();

	private final FakeStore fakeStore = FakeStore.withoutFaults(this.time);

	private final PlatformStore store = this.fakeStore.connect("ghent", new PausableScheduler(this.time));

	private final ClaimClock clock = () -> new ClaimTime(this.time.now(TimeUnit.NANOSECONDS),
			this.time.now(TimeUnit.SECONDS));

	private final StoreClaimRegistry owner = registry("owner", new NoForwarder());

	@Test
	void usesDecisionOfPreferredVm() {
		Peer peer = new Peer(false, false);
		assertThat(claim(registry("other", peer), "k1")).isInstanceOf(ClaimDecision.Granted.class);
		assertThat(claim(this.owner, "k1")).isInstanceOf(ClaimDecision.Refused.class);
		assertThat(peer.batches).hasSize(1);
	}

	@Test
	void grantsOwnClaimWhenReplyOfPreferredVmIsLost() {
		assertThat(claim(registry("other", new Peer(false, true)), "k1")).isInstanceOf(ClaimDecision.Granted.class);
		assertThat(entries()).singleElement().isInstanceOf(ClaimEntry.Claimed.class);
	}

	@Test
	void commitsClaimItselfWhenPreferredVmIsUnreachable() {
		assertThat(claim(registry("other", new Peer(true, true)), "k1")).isInstanceOf(ClaimDecision.Granted.class);
	}

	@Test
	void suspendsForwardingAfterMissingReply() {
		Peer peer = new Peer(true, true);
		StoreClaimRegistry forwardingRegistry = registry("other", peer);
		var observers = List.of(forwardingRegistry.claim(request("k1")).test(),
				forwardingRegistry.claim(request("k1")).test());
		this.time.advanceTimeBy(700, TimeUnit.MILLISECONDS);
		forwardingRegistry.claim(request("k1")).test();
		this.time.advanceTimeBy(100, TimeUnit.MILLISECONDS);
		assertThat(observers).allSatisfy((observer) -> observer.assertComplete());
		assertThat(peer.batches).singleElement().satisfies((batch) -> assertThat(batch.claims()).hasSize(2));
	}

	@Test
	void recordsResponseThroughPreferredVm() {
		StoreClaimRegistry forwardingRegistry = registry("other", new Peer(false, false));
		ClaimDecision.Granted granted = (ClaimDecision.Granted) claim(forwardingRegistry, "k1");
		RecordedResponse response = new RecordedResponse(201, "text/plain", "booked", true);
		assertThat(await(forwardingRegistry.recordResponse(granted.ticket(), response))).isTrue();
		assertThat(claim(this.owner, "k1")).isEqualTo(new ClaimDecision.Replay(response));
	}

	@Test
	void repliesWithoutDecisionWhenOwnStoreConnectionFails() {
		FakeStore unreachableStore = FakeStore.withoutFaults(this.time);
		unreachableStore.setOutage(true);
		StoreClaimRegistry disconnectedRegistry = new StoreClaimRegistry("owner",
				unreachableStore.connect("ghent", new PausableScheduler(this.time)), new NoForwarder(), PARAMETERS,
				this.time, this.clock, new SplittableRandom(3));
		ClaimBatch batch = new ClaimBatch(0, List.of(new ClaimProposal("c1", "other", request("k1"))));
		assertThat(await(disconnectedRegistry.acceptClaims(batch)).replies())
			.containsExactly(new ClaimReply("c1", Optional.empty()));
	}

	@Test
	void grantsEachKeyOnceToConcurrentThreads() throws InterruptedException, ExecutionException {
		ClaimParameters parameters = new ClaimParameters(1, 0, 0, 1, 60_000, 60_000, 60_000, ClaimRetention.standard());
		FakeStore realTimeStore = new FakeStore(Schedulers.single(), new SplittableRandom(1), 0,
				new EnumMap<>(Fault.class));
		StoreClaimRegistry registry = new StoreClaimRegistry("vm-1",
				realTimeStore.connect("ghent", new PausableScheduler(Schedulers.single())), new NoForwarder(),
				parameters, Schedulers.single(), ClaimClock.system(), new SplittableRandom(5));
		ExecutorService threads = Executors.newFixedThreadPool(THREADS);
		Callable<Integer> claims = () -> grantsOf(registry);
		int granted = 0;
		for (Future<Integer> grants : threads.invokeAll(Collections.nCopies(THREADS, claims))) {
			granted += grants.get();
		}
		threads.shutdown();
		assertThat(granted).isEqualTo(CLAIMS_PER_THREAD);
	}

	private static int grantsOf(StoreClaimRegistry registry) {
		int granted = 0;
		for (int index = 0; index < CLAIMS_PER_THREAD; index++) {
			ClaimRequest request = new ClaimRequest("dairy", "k" + index, "0011", 60_000);
			if (registry.claim(request).blockingGet() instanceof ClaimDecision.Granted) {
				granted++;
			}
		}
		return granted;
	}

	@Test
	void releasesClaimOfDisconnectedCaller() {
		this.owner.claim(request("k1")).test().dispose();
		this.time.advanceTimeBy(3, TimeUnit.SECONDS);
		assertThat(claim(this.owner, "k1")).isInstanceOf(ClaimDecision.Granted.class);
	}

	@Test
	void refusesDifferentRequestWithSameKey() {
		claim(this.owner, "k1");
		ClaimDecision decision = await(this.owner.claim(new ClaimRequest("dairy", "k1", "ffff", 2_000)));
		assertThat(decision).isInstanceOfSatisfying(ClaimDecision.Refused.class,
				(refused) -> assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.KEY_REUSED));
	}

	private StoreClaimRegistry registry(String vmName, ClaimForwarder forwarder) {
		return new StoreClaimRegistry(vmName, this.store, forwarder, PARAMETERS, this.time, this.clock,
				new SplittableRandom(vmName.hashCode()));
	}

	private static ClaimRequest request(String key) {
		return new ClaimRequest("dairy", key, "0011", 2_000);
	}

	private ClaimDecision claim(StoreClaimRegistry registry, String key) {
		return await(registry.claim(request(key)));
	}

	private List<ClaimEntry> entries() {
		return this.fakeStore.objects()
			.stream()
			.flatMap((object) -> ClaimTableCodec.decode(object.value()).get().values().stream())
			.toList();
	}

	private <T> T await(Single<T> single) {
		var observer = single.test();
		this.time.advanceTimeBy(3, TimeUnit.SECONDS);
		return observer.assertComplete().values().get(0);
	}

	private final class Peer implements ClaimForwarder {

		private final List<ClaimBatch> batches = new ArrayList<>();

		private final boolean losesBatch;

		private final boolean losesResponse;

		Peer(boolean losesBatch, boolean losesResponse) {
			this.losesBatch = losesBatch;
			this.losesResponse = losesResponse;
		}

		@Override
		public boolean prefersPeer(int shard) {
			return true;
		}

		@Override
		public Maybe<ClaimBatch.Reply> forwardClaims(ClaimBatch batch) {
			this.batches.add(batch);
			return (this.losesBatch) ? Maybe.never() : respond(StoreClaimRegistryTests.this.owner.acceptClaims(batch));
		}

		@Override
		public Maybe<OutcomeBatch.Reply> forwardOutcomes(OutcomeBatch batch) {
			return (this.losesBatch) ? Maybe.never()
					: respond(StoreClaimRegistryTests.this.owner.acceptOutcomes(batch));
		}

		private <T> Maybe<T> respond(Single<T> call) {
			return (this.losesResponse) ? call.toMaybe().concatWith(Maybe.never()).ignoreElements().toMaybe()
					: call.toMaybe();
		}

	}

}
