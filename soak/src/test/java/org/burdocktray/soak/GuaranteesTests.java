package org.burdocktray.soak;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GuaranteesTests {

	private static final long NEVER = Long.MAX_VALUE;

	@Test
	void expectedResponseIsNoViolation() {
		Call call = new Call("book-1", Call.Kind.BOOK, SoakPlatform.KEY, 0, 1, 200, "ran at desk-0 for acme",
				"signed-by-desk-0", "book-1");
		assertThat(Guarantees.findViolations(List.of(call), Map.of("book-1", 1L), NEVER)).isEmpty();
	}

	@Test
	void answerToAnotherRequestIsViolation() {
		Call call = new Call("check-1", Call.Kind.CHECK, SoakPlatform.KEY, 0, 1, 200, "ran at desk-0 for acme",
				"signed-by-desk-0", "check-2");
		assertThat(Guarantees.findViolations(List.of(call), Map.of("check-1", 1L), NEVER)).hasSize(1);
	}

	@Test
	void nonIdempotentCallThatRunsTwiceIsViolation() {
		assertThat(
				Guarantees.findViolations(List.of(ended("book-1", Call.Kind.BOOK, 502)), Map.of("book-1", 2L), NEVER))
			.hasSize(1);
		assertThat(Guarantees.findViolations(List.of(ended("check-1", Call.Kind.CHECK, 502)), Map.of("check-1", 2L),
				NEVER))
			.isEmpty();
	}

	@Test
	void refusalOfExecutedCallIsViolation() {
		assertThat(
				Guarantees.findViolations(List.of(ended("book-1", Call.Kind.BOOK, 503)), Map.of("book-1", 1L), NEVER))
			.hasSize(1);
		assertThat(
				Guarantees.findViolations(List.of(ended("book-1", Call.Kind.BOOK, 502)), Map.of("book-1", 1L), NEVER))
			.isEmpty();
	}

	@Test
	void truncatedStreamThatLooksCompleteIsViolation() {
		Call call = new Call("draft-1", Call.Kind.DRAFT, SoakPlatform.KEY, 0, 1, 200, "id: 1\ndata: draft-1-1\n\n",
				"signed-by-engine-0", "draft-1");
		assertThat(Guarantees.findViolations(List.of(call), Map.of(), NEVER)).hasSize(1);
	}

	@Test
	void executionOfUnsentRequestIsViolation() {
		assertThat(Guarantees.findViolations(List.of(), Map.of("book-9", 1L), NEVER)).hasSize(1);
	}

	@Test
	void rejectionOfValidKeyIsViolation() {
		assertThat(Guarantees.findViolations(List.of(ended("book-1", Call.Kind.BOOK, 401)), Map.of(), NEVER))
			.hasSize(1);
	}

	@Test
	void acceptanceOfRevokedKeyIsViolationOnlyAfterTheBound() {
		Call call = new Call("check-1", Call.Kind.CHECK, SoakPlatform.REVOKED_KEY, 100, 101, 502, "", "", "");
		assertThat(Guarantees.findViolations(List.of(call), Map.of("check-1", 1L), 99)).hasSize(1);
		assertThat(Guarantees.findViolations(List.of(call), Map.of("check-1", 1L), 100)).isEmpty();
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

	private static Call ended(String id, Call.Kind kind, int status) {
		return new Call(id, kind, SoakPlatform.KEY, 0, 1, status, "", "", "");
	}

}
