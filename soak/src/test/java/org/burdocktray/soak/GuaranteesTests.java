package org.burdocktray.soak;

import java.util.List;
import java.util.Map;

import org.burdocktray.standins.gateway.PlainReplicaStandIn.Answer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GuaranteesTests {

	private static final long NEVER = Long.MAX_VALUE;

	private static final String BODY = "ran at desk-0 for acme";

	private static final String FAILED_BODY = "failed at desk-0 for acme";

	private static final Map<String, Answer> RUNS = Map.of("s-book-1", new Answer("book-1", 200, BODY), "s-check-1",
			new Answer("check-1", 200, BODY), "s-check-2", new Answer("check-2", 200, BODY), "s-failed",
			new Answer("check-1", 500, FAILED_BODY));

	@Test
	void expectedResponseIsNoViolation() {
		Call call = new Call("book-1", Call.Kind.BOOK, SoakPlatform.KEY, 0, 1, 200, BODY, "s-book-1", "book-1");
		assertThat(Guarantees.findViolations(List.of(call), Map.of("book-1", 1L), RUNS, NEVER)).isEmpty();
	}

	@Test
	void answerOfOneRunIsNoViolation() {
		assertThat(findMixed(200, BODY, "s-check-1", "check-1")).isEmpty();
		assertThat(findMixed(500, FAILED_BODY, "s-failed", "check-1")).isEmpty();
	}

	@Test
	void answerToAnotherRequestIsViolation() {
		assertThat(findMixed(200, BODY, "s-check-1", "check-2")).singleElement().asString().contains("another request");
		assertThat(findMixed(200, BODY, "s-check-2", "check-1")).singleElement().asString().contains("check-2");
		assertThat(findMixed(500, FAILED_BODY, "s-failed", "check-2")).hasSize(1);
	}

	@Test
	void statusOtherThanThatOfTheRunIsViolation() {
		assertThat(findMixed(200, FAILED_BODY, "s-failed", "check-1"))
			.containsExactly("check-1 got status 200 where the replica answered 500");
		assertThat(findMixed(502, BODY, "s-check-1", "check-1"))
			.containsExactly("check-1 got status 502 where the replica answered 200");
		assertThat(findMixed(201, BODY, "s-check-1", "check-1"))
			.containsExactly("check-1 got status 201 where the replica answered 200");
	}

	@Test
	void answerWithTheSignatureOfNoRunIsViolation() {
		assertThat(findMixed(200, BODY, "", "check-1")).hasSize(1);
		assertThat(findMixed(200, BODY, "s-check-9", "check-1")).hasSize(1);
		assertThat(findMixed(500, FAILED_BODY, "s-check-9", "check-1")).hasSize(1);
	}

	@Test
	void bodyOtherThanThatOfTheRunIsViolation() {
		assertThat(findMixed(200, BODY + "x", "s-check-1", "check-1")).hasSize(1);
		assertThat(findMixed(200, "", "s-check-1", "check-1")).hasSize(1);
		assertThat(findMixed(500, BODY, "s-failed", "check-1")).hasSize(1);
	}

	@Test
	void runForAnotherTenantIsViolation() {
		Call call = new Call("check-1", Call.Kind.CHECK, SoakPlatform.KEY, 0, 1, 200, "ran at desk-0 for other", "s",
				"check-1");
		Map<String, Answer> runs = Map.of("s", new Answer("check-1", 200, "ran at desk-0 for other"));
		assertThat(Guarantees.findViolations(List.of(call), Map.of("check-1", 1L), runs, NEVER)).hasSize(1);
	}

	@Test
	void failureWithoutSignatureIsNoViolation() {
		assertThat(findMixed(502, "bad gateway", "", "")).isEmpty();
	}

	@Test
	void nonIdempotentCallThatRunsTwiceIsViolation() {
		assertThat(Guarantees.findViolations(List.of(ended("book-1", Call.Kind.BOOK, 502)), Map.of("book-1", 2L), RUNS,
				NEVER))
			.hasSize(1);
		assertThat(Guarantees.findViolations(List.of(ended("check-1", Call.Kind.CHECK, 502)), Map.of("check-1", 2L),
				RUNS, NEVER))
			.isEmpty();
	}

	@Test
	void refusalOfExecutedCallIsViolation() {
		assertThat(Guarantees.findViolations(List.of(ended("book-1", Call.Kind.BOOK, 503)), Map.of("book-1", 1L), RUNS,
				NEVER))
			.hasSize(1);
		assertThat(Guarantees.findViolations(List.of(ended("book-1", Call.Kind.BOOK, 502)), Map.of("book-1", 1L), RUNS,
				NEVER))
			.isEmpty();
	}

	@Test
	void truncatedStreamThatLooksCompleteIsViolation() {
		Call call = new Call("draft-1", Call.Kind.DRAFT, SoakPlatform.KEY, 0, 1, 200, "id: 1\ndata: draft-1-1\n\n",
				"signed-by-engine-0", "draft-1");
		assertThat(Guarantees.findViolations(List.of(call), Map.of(), RUNS, NEVER)).hasSize(1);
	}

	@Test
	void executionOfUnsentRequestIsViolation() {
		assertThat(Guarantees.findViolations(List.of(), Map.of("book-9", 1L), RUNS, NEVER)).hasSize(1);
	}

	@Test
	void rejectionOfValidKeyIsViolation() {
		assertThat(Guarantees.findViolations(List.of(ended("book-1", Call.Kind.BOOK, 401)), Map.of(), RUNS, NEVER))
			.hasSize(1);
	}

	@Test
	void acceptanceOfRevokedKeyIsViolationOnlyAfterTheBound() {
		Call call = new Call("check-1", Call.Kind.CHECK, SoakPlatform.REVOKED_KEY, 100, 101, 502, "", "", "");
		assertThat(Guarantees.findViolations(List.of(call), Map.of("check-1", 1L), RUNS, 99)).hasSize(1);
		assertThat(Guarantees.findViolations(List.of(call), Map.of("check-1", 1L), RUNS, 100)).isEmpty();
	}

	@Test
	void callWithoutResponseIsLostOnlyInTheCalmPhase() {
		Call call = ended("draft-1", Call.Kind.DRAFT, 0);
		assertThat(Guarantees.findLostCalls(List.of(call), 0, 1)).hasSize(1);
		assertThat(Guarantees.findLostCalls(List.of(call), 1, 2)).isEmpty();
		assertThat(Guarantees.findLostCalls(List.of(call), -2, -1)).isEmpty();
	}

	@Test
	void refusedCallAndCallThatWasNotTakenAreNotLost() {
		Call refused = ended("draft-1", Call.Kind.DRAFT, 502);
		Call notTaken = ended("draft-2", Call.Kind.DRAFT, Call.NOT_TAKEN);
		assertThat(Guarantees.findLostCalls(List.of(refused, notTaken), 0, 1)).isEmpty();
	}

	private static List<String> findMixed(int status, String body, String signature, String answeredId) {
		Call call = new Call("check-1", Call.Kind.CHECK, SoakPlatform.KEY, 0, 1, status, body, signature, answeredId);
		return Guarantees.findViolations(List.of(call), Map.of("check-1", 1L), RUNS, NEVER);
	}

	private static Call ended(String id, Call.Kind kind, int status) {
		return new Call(id, kind, SoakPlatform.KEY, 0, 1, status, "", "", "");
	}

}
