package org.burdocktray.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.burdocktray.standins.gateway.PlainReplicaStandIn.Answer;

/**
 * Checks the guarantees that callers and replicas have under all faults. Thread safety:
 * stateless.
 */
final class Guarantees {

	private Guarantees() {
	}

	/**
	 * Returns the calls that were lost while nothing failed.
	 * @param calls the ended calls
	 * @param calmFromNanos the begin of the time in which nothing failed, from
	 * {@link System#nanoTime()}
	 * @param calmToNanos its end
	 * @return one message per lost call
	 */
	static List<String> findLostCalls(List<Call> calls, long calmFromNanos, long calmToNanos) {
		return calls.stream()
			.filter((call) -> call.sentNanos() - calmFromNanos >= 0 && calmToNanos - call.sentNanos() >= 0)
			.filter(Call::isLost)
			.map((call) -> call.id() + " ended without a whole answer and without a refusal, although nothing failed")
			.toList();
	}

	/**
	 * Returns the violations of the guarantees.
	 * @param calls the ended calls
	 * @param executionCounts how often requests ran at plain replicas, by request id
	 * @param answers what the runs at plain replicas answered, by signature
	 * @param revokedFromNanos the time from which on the revoked key must be rejected,
	 * from {@link System#nanoTime()}
	 * @return one message per violation, empty when all guarantees hold
	 */
	static List<String> findViolations(List<Call> calls, Map<String, Long> executionCounts, Map<String, Answer> answers,
			long revokedFromNanos) {
		List<String> violations = new ArrayList<>();
		Set<String> sentIds = calls.stream().map(Call::id).collect(Collectors.toSet());
		executionCounts.keySet()
			.stream()
			.filter((id) -> !sentIds.contains(id))
			.forEach((id) -> violations.add("a replica ran a request that was not sent: " + id));
		for (Call call : calls) {
			long runs = executionCounts.getOrDefault(call.id(), 0L);
			if (call.kind() == Call.Kind.BOOK && runs > 1) {
				violations.add(call.id() + " is not idempotent and ran " + runs + " times");
			}
			if (call.kind() != Call.Kind.CHECK && call.isRefused() && runs > 0) {
				violations.add(call.id() + " ran, but its response says that it has not run, status " + call.status());
			}
			call.findForeignPart(answers).ifPresent((message) -> violations.add(call.id() + " " + message));
			if (call.status() == 401 && call.key().equals(SoakPlatform.KEY)) {
				violations.add(call.id() + " was rejected although its key is valid");
			}
			boolean isRevoked = call.key().equals(SoakPlatform.REVOKED_KEY) && call.sentNanos() - revokedFromNanos > 0;
			if (isRevoked && (call.isSuccess() || runs > 0)) {
				violations.add(call.id() + " was accepted with a revoked key");
			}
		}
		return violations;
	}

}
