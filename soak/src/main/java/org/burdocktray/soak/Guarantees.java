package org.burdocktray.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What callers and replicas must never see, whatever happens. Thread safety: stateless.
 */
final class Guarantees {

	private Guarantees() {
	}

	/**
	 * Checks calls that have ended.
	 * @param calls the calls
	 * @param ran how often plain requests ran, by id
	 * @param revokedBeforeNanos from when on the revoked key must not be accepted
	 * @return what was broken, empty when nothing was
	 */
	static List<String> findViolations(List<Call> calls, Map<String, Long> ran, long revokedBeforeNanos) {
		List<String> result = new ArrayList<>();
		Set<String> sent = calls.stream().map(Call::id).collect(Collectors.toSet());
		ran.keySet().stream().filter((id) -> !sent.contains(id)).forEach((id) -> result.add("nobody sent " + id));
		for (Call call : calls) {
			long runs = ran.getOrDefault(call.id(), 0L);
			if (call.kind() == Call.Kind.BOOK && runs > 1) {
				result.add(call.id() + " must not run twice and ran " + runs + " times");
			}
			if (call.kind() != Call.Kind.CHECK && call.isRefused() && runs > 0) {
				result.add(call.id() + " ran and was refused as not run, status " + call.status());
			}
			if (call.status() == 200 && !call.hasExpectedResponse()) {
				result.add(call.id() + " got a wrong answer: " + call.body());
			}
			if (call.status() == 401 && call.key().equals(SoakPlatform.KEY)) {
				result.add(call.id() + " was turned away with a key that is in force");
			}
			boolean isRevoked = call.key().equals(SoakPlatform.REVOKED_KEY)
					&& call.sentNanos() - revokedBeforeNanos > 0;
			if (isRevoked && (call.status() == 200 || runs > 0)) {
				result.add(call.id() + " ran with a key that was taken away");
			}
		}
		return result;
	}

}
