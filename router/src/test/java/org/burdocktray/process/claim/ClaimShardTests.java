package org.burdocktray.process.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.model.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the actions of one shard in response to single events.
 */
class ClaimShardTests {

	private static final ClaimParameters PARAMETERS = new ClaimParameters(1, 100, 200, 100, 1_000, 1_000, 5_000,
			ClaimRetention.standard());

	private static final RecordedResponse RESPONSE = new RecordedResponse(200, "text/plain", "ok", true);

	private final ClaimShard shard = new ClaimShard(PARAMETERS);

	private long nowMillis = 1_000;

	@Test
	void readsObjectBeforeFirstWrite() {
		assertThat(storeCalls(request("c1", "k1"))).containsExactly(new ClaimAction.ReadObject());
		assertThat(storeCalls(read(Optional.empty()))).singleElement()
			.isInstanceOfSatisfying(ClaimAction.WriteObject.class,
					(write) -> assertThat(write.expectedVersion()).isEmpty());
	}

	@Test
	void grantsClaimOnlyAfterWriteIsApplied() {
		handle(request("c1", "k1"));
		assertThat(deliveries(handle(read(Optional.empty())))).isEmpty();
		assertThat(deliveries(handle(new ClaimEvent.WriteApplied(StoreRevision.of(7)))))
			.containsExactly(granted("c1", "k1"));
	}

	@Test
	void writesAllPendingClaimsTogether() {
		handle(request("c1", "k1"));
		handle(request("c2", "k2"));
		handle(read(Optional.empty()));
		assertThat(deliveries(handle(new ClaimEvent.WriteApplied(StoreRevision.of(7)))))
			.containsExactly(granted("c1", "k1"), granted("c2", "k2"));
	}

	@Test
	void startsNoCallWhileWriteIsInFlight() {
		handle(request("c1", "k1"));
		handle(read(Optional.empty()));
		this.nowMillis += 500;
		assertThat(storeCalls(request("c2", "k2"))).isEmpty();
	}

	@Test
	void refusesSecondClaimOnSameKey() {
		handle(request("c1", "k1"));
		handle(request("c2", "k1"));
		handle(read(Optional.empty()));
		Refusal refusal = refusal(handle(new ClaimEvent.WriteApplied(StoreRevision.of(7))), "c2");
		assertThat(refusal.reason()).isEqualTo(RefusalReason.KEY_IN_PROGRESS);
		assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void grantsClaimFoundInStoreAfterUnresolvedWrite() {
		String value = requestWithUnresolvedWrite("c1", "k1");
		assertThat(storeCalls(timerAfter(100))).containsExactly(new ClaimAction.ReadObject());
		assertThat(deliveries(handle(read(Optional.of(stored(7, value)))))).containsExactly(granted("c1", "k1"));
	}

	@Test
	void repeatsUnappliedWriteWithSameExpectedVersion() {
		requestWithUnresolvedWrite("c1", "k1");
		handle(timerAfter(100));
		List<ClaimAction> actions = handle(read(Optional.empty()));
		assertThat(deliveries(actions)).isEmpty();
		assertThat(write(actions).expectedVersion()).isEmpty();
	}

	@Test
	void refusesAsNotRunWhenClaimWriteIsUnresolved() {
		requestWithUnresolvedWrite("c1", "k1");
		Refusal refusal = refusal(handle(timerAfter(10_000)), "c1");
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(refusal.retryAfterMillis()).isPresent();
	}

	@Test
	void releasesStoredClaimOfRefusedWaiter() {
		String value = requestWithUnresolvedWrite("c1", "k1");
		handle(timerAfter(10_000));
		String released = write(handle(read(Optional.of(stored(7, value))))).value();
		assertThat(claimOn(released, "c2", "k1")).isInstanceOf(ClaimDecision.Granted.class);
		assertThat(claimOn(released, "c1", "k1")).isInstanceOf(ClaimDecision.Refused.class);
	}

	@Test
	void fencesUnresolvedWriteOfRefusedWaiter() {
		requestWithUnresolvedWrite("c1", "k1");
		handle(timerAfter(10_000));
		assertThat(write(handle(read(Optional.empty()))).expectedVersion()).isEmpty();
	}

	@Test
	void releasesClaimOfUnresolvedWriteAfterLaterWriteFails() {
		requestWithUnresolvedWrite("c1", "k1");
		handle(timerAfter(100));
		handle(read(Optional.empty()));
		handle(new ClaimEvent.WriteFailed(StoreError.UNAVAILABLE));
		List<ClaimAction> actions = handle(timerAfter(10_000));
		assertThat(refusal(actions, "c1").verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(claimOn(write(actions).value(), "c1", "k1")).isInstanceOf(ClaimDecision.Refused.class);
	}

	@Test
	void refusesClaimWhenWriteIsAppliedAfterDeadline() {
		handle(request("c1", "k1"));
		handle(read(Optional.empty()));
		this.nowMillis += 10_000;
		List<ClaimAction> actions = handle(new ClaimEvent.WriteApplied(StoreRevision.of(7)));
		assertThat(refusal(actions, "c1").verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(deliveries(actions)).hasSize(1);
	}

	@Test
	void doesNotReleaseClaimOfAnotherVm() {
		ClaimProposal proposal = proposal("c1", "k1");
		handle(new ClaimEvent.ClaimRequested(proposal, deadlineNanos(), ClaimOrigin.FROM_PEER));
		handle(read(Optional.empty()));
		this.nowMillis += 10_000;
		handle(new ClaimEvent.WriteApplied(StoreRevision.of(7)));
		assertThat(storeCalls(timerAfter(1_000))).isEmpty();
	}

	@Test
	void storesReleasedIdOfClaimThatPeerMayCommitLater() {
		ClaimProposal proposal = proposal("c1", "k1");
		handle(new ClaimEvent.ClaimRequested(proposal, deadlineNanos(), ClaimOrigin.FORWARD_UNRESOLVED));
		handle(timerAfter(10_000));
		String value = write(handle(read(Optional.empty()))).value();
		assertThat(claimOn(value, "c1", "k1")).isInstanceOf(ClaimDecision.Refused.class);
	}

	@Test
	void refusesClaimsAfterThreeStoreFailures() {
		handle(request("c1", "k1"));
		handle(new ClaimEvent.ReadFailed());
		handle(timerAfter(100));
		handle(new ClaimEvent.ReadFailed());
		handle(timerAfter(200));
		Refusal refusal = refusal(handle(new ClaimEvent.ReadFailed()), "c1");
		assertThat(refusal.reason()).isEqualTo(RefusalReason.PLATFORM_UNAVAILABLE);
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void readsAgainAfterConflict() {
		handle(request("c1", "k1"));
		handle(read(Optional.empty()));
		assertThat(storeCalls(new ClaimEvent.WriteFailed(StoreError.CONFLICT)))
			.containsExactly(new ClaimAction.ReadObject());
	}

	@Test
	void doesNotOverwriteUnreadableObject() {
		handle(request("c1", "k1"));
		List<ClaimAction> actions = handle(read(Optional.of(stored(3, "{\"v\":2}"))));
		assertThat(actions).hasAtLeastOneElementOfType(ClaimAction.ReportFault.class)
			.doesNotHaveAnyElementsOfTypes(ClaimAction.WriteObject.class);
	}

	@Test
	void storesOutcomeAfterItsWaiterTimedOut() {
		ClaimTicket ticket = new ClaimTicket("dairy", "k1", "c1");
		handle(new ClaimEvent.OutcomeReported(1, ticket, new ClaimOutcome.Completed(RESPONSE), millis(2_000)));
		handle(timerAfter(200));
		handle(new ClaimEvent.ReadFailed());
		assertThat(deliveries(handle(timerAfter(2_000))))
			.containsExactly(new ClaimAction.DeliverRecordResult(1, false));
		String value = write(handle(read(Optional.empty()))).value();
		assertThat(claimOn(value, "c2", "k1")).isEqualTo(new ClaimDecision.Replay(RESPONSE));
	}

	private String requestWithUnresolvedWrite(String claimId, String key) {
		handle(request(claimId, key));
		String value = write(handle(read(Optional.empty()))).value();
		assertThat(deliveries(handle(new ClaimEvent.WriteFailed(StoreError.UNRESOLVED)))).isEmpty();
		return value;
	}

	private static ClaimDecision claimOn(String value, String claimId, String key) {
		ClaimTable table = ClaimTable.decode(ClaimRetention.standard(), value).get();
		return table.claim(proposal(claimId, key), 1);
	}

	private List<ClaimAction> handle(ClaimEvent event) {
		return this.shard.handle(event, new ClaimTime(millis(this.nowMillis), this.nowMillis / 1_000));
	}

	private List<ClaimAction> storeCalls(ClaimEvent event) {
		return handle(event).stream()
			.filter((action) -> action instanceof ClaimAction.ReadObject || action instanceof ClaimAction.WriteObject)
			.toList();
	}

	private ClaimEvent timerAfter(long millis) {
		this.nowMillis += millis;
		return new ClaimEvent.TimerFired();
	}

	private ClaimEvent request(String claimId, String key) {
		return new ClaimEvent.ClaimRequested(proposal(claimId, key), deadlineNanos(), ClaimOrigin.LOCAL);
	}

	private long deadlineNanos() {
		return millis(this.nowMillis + 10_000);
	}

	private static ClaimProposal proposal(String claimId, String key) {
		return new ClaimProposal(claimId, "vm-1", new ClaimRequest("dairy", key, "0011", 10_000));
	}

	private static ClaimEvent read(Optional<StoredObject> object) {
		return new ClaimEvent.ObjectRead(object);
	}

	private static StoredObject stored(long version, String value) {
		return new StoredObject("claims/0", version, value);
	}

	private static ClaimAction.WriteObject write(List<ClaimAction> actions) {
		return actions.stream()
			.filter(ClaimAction.WriteObject.class::isInstance)
			.map(ClaimAction.WriteObject.class::cast)
			.findFirst()
			.orElseThrow();
	}

	private static List<ClaimAction> deliveries(List<ClaimAction> actions) {
		List<ClaimAction> deliveries = new ArrayList<>(actions);
		deliveries.removeIf((action) -> !(action instanceof ClaimAction.DeliverDecision)
				&& !(action instanceof ClaimAction.DeliverRecordResult));
		return deliveries;
	}

	private static Refusal refusal(List<ClaimAction> actions, String claimId) {
		return actions.stream()
			.filter(ClaimAction.DeliverDecision.class::isInstance)
			.map(ClaimAction.DeliverDecision.class::cast)
			.filter((delivery) -> delivery.claimId().equals(claimId))
			.map((delivery) -> ((ClaimDecision.Refused) delivery.decision()).refusal())
			.findFirst()
			.orElseThrow();
	}

	private static ClaimAction granted(String claimId, String key) {
		return new ClaimAction.DeliverDecision(claimId,
				new ClaimDecision.Granted(new ClaimTicket("dairy", key, claimId)));
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
