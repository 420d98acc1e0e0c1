package org.burdocktray.process.claim;

import java.nio.charset.StandardCharsets;

import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.model.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the state changes and the size limits of the entries of a shard.
 */
class ClaimTableTests {

	private static final ClaimRetention RETENTION = new ClaimRetention(1_000, 100, 1_000, 100, 50, 200);

	private final ClaimTable table = ClaimTable.empty(RETENTION);

	@Test
	void grantsFreeKey() {
		assertThat(claim("c1", "k1", 0)).isInstanceOf(ClaimDecision.Granted.class);
	}

	@Test
	void refusesReusedKeyWithDifferentRequestAsNotRun() {
		claim("c1", "k1", 0);
		ClaimProposal differentRequest = new ClaimProposal("c2", "vm-2",
				new ClaimRequest("dairy", "k1", "ffff", 1_000));
		Refusal refusal = ((ClaimDecision.Refused) this.table.claim(differentRequest, 0)).refusal();
		assertThat(refusal.reason()).isEqualTo(RefusalReason.KEY_REUSED);
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void grantsSameKeyToDifferentOrganisations() {
		claim("c1", "k1", 0);
		ClaimProposal otherOrganisation = new ClaimProposal("c2", "vm-1",
				new ClaimRequest("other", "k1", "0011", 1_000));
		assertThat(this.table.claim(otherOrganisation, 0)).isInstanceOf(ClaimDecision.Granted.class);
	}

	@Test
	void reportsOverdueClaimAsUnknown() {
		claim("c1", "k1", 0);
		assertThat(refusal(claim("c2", "k1", 51)).reason()).isEqualTo(RefusalReason.KEY_OUTCOME_UNKNOWN);
		assertThat(refusal(claim("c2", "k1", 51)).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void neverGrantsKeyWithUnknownOutcome() {
		claim("c1", "k1", 0);
		record("c1", "k1", new ClaimOutcome.OutcomeUnknown(), 1);
		this.table.compact(1_000_000);
		assertThat(refusal(claim("c2", "k1", 1_000_000)).reason()).isEqualTo(RefusalReason.KEY_OUTCOME_UNKNOWN);
	}

	@Test
	void grantsKeyAgainAfterNotRun() {
		claim("c1", "k1", 0);
		assertThat(record("c1", "k1", new ClaimOutcome.NotRun(), 1)).isTrue();
		assertThat(claim("c2", "k1", 1)).isInstanceOf(ClaimDecision.Granted.class);
	}

	@Test
	void doesNotReleaseKeyWithOtherClaimId() {
		claim("c1", "k1", 0);
		record("c2", "k1", new ClaimOutcome.NotRun(), 1);
		assertThat(refusal(claim("c3", "k1", 1)).reason()).isEqualTo(RefusalReason.KEY_IN_PROGRESS);
	}

	@Test
	void refusesReleasedClaimIdAsNotRun() {
		record("c1", "k1", new ClaimOutcome.NotRun(), 0);
		assertThat(refusal(claim("c1", "k1", 1)).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void replaysRecordedResponse() {
		claim("c1", "k1", 0);
		record("c1", "k1", completed("done"), 1);
		assertThat(claim("c2", "k1", 2))
			.isEqualTo(new ClaimDecision.Replay(new RecordedResponse(200, "text/plain", "done", true)));
	}

	@Test
	void recordsResponseOfUnknownClaim() {
		claim("c1", "k1", 0);
		this.table.compact(60);
		assertThat(record("c1", "k1", completed("late"), 61)).isTrue();
		assertThat(claim("c2", "k1", 62)).isInstanceOf(ClaimDecision.Replay.class);
	}

	@Test
	void doesNotReleaseCompletedClaim() {
		claim("c1", "k1", 0);
		record("c1", "k1", completed("done"), 1);
		assertThat(record("c1", "k1", new ClaimOutcome.NotRun(), 2)).isFalse();
		assertThat(claim("c2", "k1", 3)).isInstanceOf(ClaimDecision.Replay.class);
	}

	@Test
	void dropsBodyAboveMaxLength() {
		claim("c1", "k1", 0);
		record("c1", "k1", completed("x".repeat(101)), 1);
		assertThat(claim("c2", "k1", 2)).isEqualTo(new ClaimDecision.Replay(new RecordedResponse(200, "", "", false)));
	}

	@Test
	void dropsResponsesAfterRetention() {
		claim("c1", "k1", 0);
		record("c1", "k1", completed("done"), 1);
		this.table.compact(1_001);
		assertThat(claim("c2", "k1", 1_001)).isInstanceOf(ClaimDecision.Granted.class);
	}

	@Test
	void dropsOldestBodiesFirstWhenFull() {
		fillWithResponses(8, 0);
		assertThat(claim("c", "k0", 2)).isEqualTo(new ClaimDecision.Replay(new RecordedResponse(200, "", "", false)));
		assertThat(claim("c", "k7", 2)).isInstanceOfSatisfying(ClaimDecision.Replay.class,
				(replay) -> assertThat(replay.response().bodyKept()).isTrue());
	}

	@Test
	void refusesNewClaimsAsNotRunWhenNoEntryCanBeDropped() {
		for (int index = 0; index < 20; index++) {
			claim("c" + index, "k" + index, 0);
		}
		Refusal refusal = refusal(claim("c", "one-too-many", 1_000_000));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOADED);
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(refusal.retryAfterMillis()).isPresent();
	}

	@Test
	void dropsResponsesEarlyOnlyWhenFullAndPastMinRetention() {
		fillWithResponses(30, 0);
		int entries = this.table.entries().size();
		assertThat(refusal(claim("c", "new", 100)).reason()).isEqualTo(RefusalReason.OVERLOADED);
		assertThat(claim("c", "new", 101)).isInstanceOf(ClaimDecision.Granted.class);
		assertThat(this.table.entries()).hasSizeLessThanOrEqualTo(entries);
	}

	@ParameterizedTest
	@ValueSource(strings = { "plain", "quote\" and \\", "naïve ☕ 𝄞", "\u0000\n" })
	void decodesEncodedEntries(String text) {
		claim("c1", text, 0);
		claim("c2", "k2", 0);
		record("c2", "k2", completed(text), 1);
		record("c3", "k3", new ClaimOutcome.NotRun(), 1);
		String value = this.table.encode();
		ClaimTable decoded = ClaimTable.decode(RETENTION, value).get();
		assertThat(decoded.entries()).isEqualTo(this.table.entries());
		assertThat(decoded.bytes()).isEqualTo(value.getBytes(StandardCharsets.UTF_8).length + 1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "null", "[]", "{\"v\":2,\"e\":{}}", "{\"v\":1,\"e\":{\"k\":[\"x\",\"\",\"\",1]}}",
			"{\"v\":1,\"e\":{\"k\":[\"c\",\"\"]}}" })
	void rejectsInvalidValue(String value) {
		assertThat(ClaimTable.decode(RETENTION, value).isLeft()).isTrue();
	}

	private void fillWithResponses(int count, long nowSeconds) {
		for (int index = 0; index < count; index++) {
			claim("c" + index, "k" + index, nowSeconds);
			record("c" + index, "k" + index, completed("x".repeat(100)), nowSeconds);
		}
		assertThat(this.table.bytes()).isLessThanOrEqualTo(RETENTION.maxValueBytes());
	}

	private ClaimDecision claim(String claimId, String key, long nowSeconds) {
		return this.table.claim(new ClaimProposal(claimId, "vm-1", new ClaimRequest("dairy", key, "0011", 1_000)),
				nowSeconds);
	}

	private boolean record(String claimId, String key, ClaimOutcome outcome, long nowSeconds) {
		return this.table.record(new ClaimTicket("dairy", key, claimId), outcome, nowSeconds);
	}

	private static ClaimOutcome completed(String body) {
		return new ClaimOutcome.Completed(new RecordedResponse(200, "text/plain", body, true));
	}

	private static Refusal refusal(ClaimDecision decision) {
		return ((ClaimDecision.Refused) decision).refusal();
	}

}
