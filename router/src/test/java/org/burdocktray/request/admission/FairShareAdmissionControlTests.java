package org.burdocktray.request.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vavr.control.Either;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.process.limits.AdmissionParameters;
import org.burdocktray.process.limits.SlotLoanMessage;
import org.burdocktray.process.limits.TargetCapacity;
import org.burdocktray.process.limits.VmIndex;
import org.burdocktray.version.bundle.Organisation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FairShareAdmissionControlTests {

	private static final int SLOTS = 10;

	private static final double TOKENS_PER_SECOND = 1000;

	private static final int EXPECTED_TOKENS = 100;

	private final TestScheduler scheduler = new TestScheduler();

	private final RecordingExchange exchange = new RecordingExchange();

	private final FairShareAdmissionControl control = control(1);

	@BeforeEach
	void startPeriodicChecks() {
		this.control.start(this.scheduler);
	}

	@Test
	void admitsUpToShareOfThisVm() {
		FairShareAdmissionControl halfShare = control(2);
		long admitted = IntStream.range(0, SLOTS)
			.mapToObj((number) -> halfShare.admit(request(organisation("a", 1_000, 1_000_000), 720)).test().values())
			.filter((decisions) -> !decisions.isEmpty() && decisions.get(0).isRight())
			.count();
		assertThat(admitted).isEqualTo(SLOTS / 2);
	}

	@Test
	void refusesWithOverloadedAndRetryAfterWhenFull() {
		fillAllSlots();
		Refusal refusal = decide(1).getLeft();
		assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOADED);
		assertThat(refusal.retryAfterMillis()).hasValue(100);
	}

	@Test
	void refusesWithQuotaExceededAndRetryAfterWhenOverQuota() {
		Organisation organisation = organisation("poor", 1, 100_000);
		decideFor(organisation);
		Refusal refusal = decideFor(organisation).getLeft();
		assertThat(refusal.reason()).isEqualTo(RefusalReason.QUOTA_EXCEEDED);
		assertThat(refusal.retryAfterMillis()).hasValue(1000);
	}

	@Test
	void overloadRefusalRefundsQuota() {
		fillAllSlots();
		Organisation organisation = organisation("poor", 1, 100_000);
		this.control.admit(request(organisation, 1)).test();
		assertThat(this.control.admit(request(organisation, 1)).test().values().get(0).getLeft().reason())
			.isEqualTo(RefusalReason.OVERLOADED);
	}

	@Test
	void waitingRequestGetsReleasedSlot() {
		List<AdmissionPermit> permits = fillAllSlots();
		TestObserver<Either<Refusal, AdmissionPermit>> waiting = admit(720);
		permits.get(0).release(EXPECTED_TOKENS);
		assertThat(waiting.values()).singleElement().matches(Either::isRight);
	}

	@Test
	void secondReleaseHasNoEffect() {
		List<AdmissionPermit> permits = fillAllSlots();
		permits.get(0).release(EXPECTED_TOKENS);
		permits.get(0).release(EXPECTED_TOKENS);
		assertThat(decide(720).isRight()).isTrue();
		assertThat(admit(720).values()).isEmpty();
	}

	@Test
	void refusesWaitingRequestOnceItCannotStartInTime() {
		fillAllSlots();
		TestObserver<Either<Refusal, AdmissionPermit>> waiting = admit(720);
		this.scheduler.advanceTimeBy(440, TimeUnit.MILLISECONDS);
		assertThat(waiting.values()).singleElement().matches(Either::isLeft);
	}

	@Test
	void releasedSlotSkipsAbandonedWaitingRequest() {
		List<AdmissionPermit> permits = fillAllSlots();
		admit(720).dispose();
		TestObserver<Either<Refusal, AdmissionPermit>> next = admit(720);
		permits.get(0).release(EXPECTED_TOKENS);
		assertThat(next.values()).singleElement().matches(Either::isRight);
	}

	@Test
	void waitingRequestGetsSlotLentByPeer() {
		fillAllSlots();
		this.exchange.peers.add("peer");
		TestObserver<Either<Refusal, AdmissionPermit>> waiting = admit(720);
		SlotLoanMessage loanRequest = this.exchange.sent.get(0).message();
		this.control.receive("model", "peer", new SlotLoanMessage.Grant(loanRequest.loanNumber(), 1));
		assertThat(waiting.values()).singleElement().matches(Either::isRight);
	}

	@Test
	void lendsFreeSlotsToPeer() {
		this.control.receive("model", "peer", new SlotLoanMessage.Request(1, 2));
		assertThat(this.exchange.sent)
			.containsExactly(new SlotLoanMessage.Outgoing("peer", new SlotLoanMessage.Grant(1, 2)));
	}

	private List<AdmissionPermit> fillAllSlots() {
		return IntStream.range(0, SLOTS).mapToObj((number) -> decide(720).get()).toList();
	}

	private Either<Refusal, AdmissionPermit> decide(long timeMillis) {
		return admit(timeMillis).values().get(0);
	}

	private Either<Refusal, AdmissionPermit> decideFor(Organisation organisation) {
		return this.control.admit(request(organisation, 720)).test().values().get(0);
	}

	private TestObserver<Either<Refusal, AdmissionPermit>> admit(long timeMillis) {
		return this.control.admit(request(organisation("a", 1_000, 1_000_000), timeMillis)).test();
	}

	private AdmissionRequest request(Organisation organisation, long timeMillis) {
		long deadlineNanos = this.scheduler.now(TimeUnit.NANOSECONDS) + TimeUnit.MILLISECONDS.toNanos(timeMillis);
		return new AdmissionRequest(organisation, "model", EXPECTED_TOKENS, deadlineNanos);
	}

	private static Organisation organisation(String name, double requestsPerSecond, double tokensPerSecond) {
		return new Organisation(name, List.of(), 1, tokensPerSecond, requestsPerSecond, 0, List.of());
	}

	private FairShareAdmissionControl control(int vmCount) {
		return new FairShareAdmissionControl(AdmissionParameters.defaults(),
				(target) -> new TargetCapacity(SLOTS, TOKENS_PER_SECOND), new VmIndex(0, vmCount, false, 1),
				this.exchange, () -> this.scheduler.now(TimeUnit.NANOSECONDS));
	}

	private static final class RecordingExchange implements SlotExchange {

		private final List<String> peers = new ArrayList<>();

		private final List<SlotLoanMessage.Outgoing> sent = new ArrayList<>();

		@Override
		public List<String> peers() {
			return this.peers;
		}

		@Override
		public void send(String target, SlotLoanMessage.Outgoing outgoing) {
			this.sent.add(outgoing);
		}

	}

}
