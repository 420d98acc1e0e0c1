package org.burdocktray.process.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What became of one request: its own lines, and those that changed what its VM believed
 * of the replicas, the rules or the store while it was in progress. Thread safety:
 * immutable.
 *
 * @param requestId the request
 * @param cause why it ended as it did, in one sentence
 * @param lines the lines in order
 */
public record RequestTimeline(String requestId, String cause, List<LogLine> lines) {

	/** How long before the first line of a request its VM's beliefs are told. */
	private static final Duration CONTEXT_BEFORE_START = Duration.ofSeconds(8);

	private static final Set<String> FINAL_EVENTS = Set.of("Request ended", "Request turned away");

	private static final Set<String> VM_EVENTS = Set.of("Store does not answer", "Store answers again",
			"Rules in force", "Gateway stops", "Gateway listens", "Rules cannot be read, the present ones stay");

	private static final Pattern REPLICA = Pattern.compile("(?:replica|dead)=([^ ,=]+)|(?:path=|,)([^ ,=]+)=\\d");

	public RequestTimeline {
		lines = List.copyOf(lines);
	}

	/**
	 * Tells the story of a request.
	 * @param requestId the request
	 * @param log lines of any VMs in any order
	 * @return the story, empty when no line names the request
	 */
	public static Optional<RequestTimeline> of(String requestId, List<LogLine> log) {
		List<LogLine> own = log.stream()
			.filter((line) -> line.field("request").equals(Optional.of(requestId)))
			.sorted(Comparator.comparing(LogLine::time))
			.toList();
		if (own.isEmpty()) {
			return Optional.empty();
		}
		LogLine last = own.get(own.size() - 1);
		Instant from = startTime(own).minus(CONTEXT_BEFORE_START);
		Set<String> replicas = findReplicas(own);
		List<LogLine> story = new ArrayList<>(own);
		log.stream()
			.filter((line) -> line.vm().equals(last.vm()))
			.filter((line) -> !line.time().isBefore(from) && !line.time().isAfter(last.time()))
			.filter((line) -> line.field("request").isEmpty())
			.filter((line) -> VM_EVENTS.contains(line.event()) || replicas.stream().anyMatch(line::containsText))
			.forEach(story::add);
		story.sort(Comparator.comparing(LogLine::time));
		return Optional.of(new RequestTimeline(requestId, cause(last, story), story));
	}

	// A request's last line says how long it took.
	private static Instant startTime(List<LogLine> own) {
		LogLine last = own.get(own.size() - 1);
		Instant began = last.field("millis")
			.map((millis) -> last.time().minusMillis(Long.parseLong(millis)))
			.orElse(last.time());
		return began.isBefore(own.get(0).time()) ? began : own.get(0).time();
	}

	private static Set<String> findReplicas(List<LogLine> own) {
		Set<String> result = new LinkedHashSet<>();
		for (LogLine line : own) {
			Matcher matcher = REPLICA.matcher(line.text());
			while (matcher.find()) {
				result.add((matcher.group(1) != null) ? matcher.group(1) : matcher.group(2));
			}
		}
		return result;
	}

	private static String cause(LogLine last, List<LogLine> story) {
		if (!FINAL_EVENTS.contains(last.event())) {
			return "The request has not ended in these lines: it was in progress, or its VM stopped without notice.";
		}
		String status = last.field("status").orElse("?");
		String reason = last.lastField("cause").orElse("");
		return describeOutcome(status, last) + EndCause.explain(reason) + describeStoreOutage(reason, story);
	}

	private static String describeOutcome(String status, LogLine last) {
		String took = last.field("millis").map((millis) -> " after " + millis + " ms").orElse("");
		String ran = switch (last.field("ran").orElse("")) {
			case "yes" -> "it ran";
			case "no" -> "it did not run";
			default -> "it may have run";
		};
		String end = status.equals("0") ? "Its connection was closed" : "It was answered with status " + status;
		return end + took + "; " + ran + ". ";
	}

	private static String describeStoreOutage(String reason, List<LogLine> story) {
		if (!reason.startsWith(EndCause.RULES_STALE_PREFIX)) {
			return "";
		}
		return story.stream()
			.filter((line) -> line.event().equals("Store does not answer"))
			.reduce((one, other) -> other)
			.map((line) -> " The VM noticed at " + line.time() + " that the store did not answer.")
			.orElse("");
	}

}
