package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.vertx.core.MultiMap;
import org.burdocktray.model.Verdict;

/**
 * The headers by which a VM relays a request to another VM, and by which that VM tells
 * its own refusals from the responses of replicas. Thread safety: stateless.
 */
final class RelayHeaders {

	private static final String KEY = "Relay-Key";

	private static final String RULES_VERSION = "Relay-Rules-Version";

	private static final String SERVICE = "Relay-Service";

	private static final String RUNS = "Relay-Runs";

	private static final String VERDICT = "Relay-Verdict";

	private static final String DECLINED = "Relay-Declined";

	/** VMs of older builds do not state this, so their refusals count as retries. */
	private static final String UNSENT = "Relay-Unsent";

	private static final String RETRY_AFTER = "Retry-After";

	private RelayHeaders() {
	}

	/**
	 * Adds the headers of a relayed request.
	 * @param key the key of the VMs
	 * @param relayed what the receiver has to know
	 * @param headers the headers to add to
	 */
	static void write(String key, RelayedRequest relayed, MultiMap headers) {
		headers.set(KEY, key);
		headers.set(RULES_VERSION, Long.toString(relayed.rulesVersion()));
		headers.set(SERVICE, relayed.service());
		headers.set(RUNS, Integer.toString(relayed.runs()));
	}

	static String readKey(MultiMap headers) {
		return headers.get(KEY);
	}

	/**
	 * Reads the headers of a relayed request.
	 * @param headers the headers
	 * @return what the sender states, empty if it cannot be read
	 */
	static Optional<RelayedRequest> read(MultiMap headers) {
		try {
			return Optional.ofNullable(headers.get(SERVICE))
				.map((service) -> new RelayedRequest(Long.parseLong(headers.get(RULES_VERSION)), service,
						Integer.parseInt(headers.get(RUNS))));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Removes the headers of a relayed request, which no replica may see.
	 * @param headers the headers
	 */
	static void remove(MultiMap headers) {
		headers.remove(KEY);
		headers.remove(RULES_VERSION);
		headers.remove(SERVICE);
		headers.remove(RUNS);
	}

	static void writeVerdict(Verdict verdict, MultiMap headers) {
		headers.set(VERDICT, verdict.name());
	}

	static void writeDeclined(boolean isUnsent, MultiMap headers) {
		writeVerdict(Verdict.NOT_RUN, headers);
		headers.set(DECLINED, "1");
		if (isUnsent) {
			headers.set(UNSENT, "1");
		}
	}

	/**
	 * Reads the refusal of a VM.
	 * @param status the status of the response
	 * @param headers its headers
	 * @return the refusal, empty if the response is one of a replica
	 */
	static Optional<RelayRefusal> readRefusal(int status, MultiMap headers) {
		String verdict = headers.get(VERDICT);
		if (verdict == null) {
			return Optional.empty();
		}
		try {
			String retryAfter = headers.get(RETRY_AFTER);
			double retryAfterSeconds = (retryAfter != null) ? Double.parseDouble(retryAfter) : 0;
			return Optional.of(new RelayRefusal(status, Verdict.valueOf(verdict), retryAfterSeconds,
					headers.contains(DECLINED), headers.contains(UNSENT)));
		}
		catch (IllegalArgumentException ex) {
			return Optional.of(new RelayRefusal(status, Verdict.MAY_HAVE_RUN, 0, false, false));
		}
	}

	/**
	 * What the receiver of a relayed request has to know beside the caller's request.
	 * Thread safety: immutable.
	 *
	 * @param rulesVersion the version of the rules that admitted the request
	 * @param service the name of the service that runs it
	 * @param runs how often it may have run already
	 */
	record RelayedRequest(long rulesVersion, String service, int runs) {

		RelayedRequest withRuns(int count) {
			return new RelayedRequest(this.rulesVersion, this.service, count);
		}

	}

}
