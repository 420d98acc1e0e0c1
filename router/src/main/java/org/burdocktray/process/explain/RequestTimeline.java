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
 * The log lines that explain the outcome of a request: the lines of the request itself,
 * and lines of its VM about the replicas, the rules or the store shortly before and while
 * the request was in progress. Thread safety: immutable.
 *
 * @param requestId the id of the request
 * @param cause an explanation of the outcome
 * @param lines the lines ordered by time
 */
public record RequestTimeline(String requestId, String cause, List<LogLine> lines) {

	/** The time before the start of a request from which lines of its VM are included. */
	private static final Duration CONTEXT_BEFORE_START = Duration.ofSeconds(8);

	private static final Set<String> FINAL_EVENTS = Set.of("Request ended", "Request turned away");

	private static final Set<String> VM_EVENTS = Set.of("Store does not answer", "Store answers again",
			"Rules in force", "Gateway stops", "Gateway listens", "Rules cannot be read, the present ones stay",
			"Balancing changed", "Shares of data centres changed", "Objects come from another source",
			"Watch of the store by this VM");

	private static final Pattern REPLICA = Pattern.compile("(?:replica|dead)=([^ ,=]+)|(?:path=|,)([^ ,=]+)=\\d");

	public RequestTimeline {
		lines = List.copyOf(lines);
	}

	/**
	 * Collects the timeline of a request.
	 * @param requestId the id of the request
	 * @param log lines of any VMs in any order
	 * @return the timeline, empty if no line contains the id of the request
	 */
	public static Optional<RequestTimeline> of(String requestId, List<LogLine> log) {
		List<LogLine> requestLines = log.stream()
			.filter((line) -> line.field("request").equals(Optional.of(requestId)))
			.sorted(Comparator.comparing(LogLine::time))
			.toList();
		if (requestLines.isEmpty()) {
			return Optional.empty();
		}
		LogLine last = requestLines.get(requestLines.size() - 1);
		Instant from = startTime(requestLines).minus(CONTEXT_BEFORE_START);
		Set<String> replicas = findReplicas(requestLines);
		List<LogLine> timeline = new ArrayList<>(requestLines);
		log.stream()
			.filter((line) -> line.vm().equals(last.vm()))
			.filter((line) -> !line.time().isBefore(from) && !line.time().isAfter(last.time()))
			.filter((line) -> line.field("request").isEmpty())
			.filter((line) -> VM_EVENTS.contains(line.event()) || replicas.stream().anyMatch(line::containsText))
			.forEach(timeline::add);
		timeline.sort(Comparator.comparing(LogLine::time));
		return Optional.of(new RequestTimeline(requestId, describeCause(last, timeline), timeline));
	}

	// The last line of a request contains its duration.
	private static Instant startTime(List<LogLine> requestLines) {
		LogLine last = requestLines.get(requestLines.size() - 1);
		Instant computedStart = last.field("millis")
			.map((millis) -> last.time().minusMillis(Long.parseLong(millis)))
			.orElse(last.time());
		return computedStart.isBefore(requestLines.get(0).time()) ? computedStart : requestLines.get(0).time();
	}

	private static Set<String> findReplicas(List<LogLine> requestLines) {
		Set<String> result = new LinkedHashSet<>();
		for (LogLine line : requestLines) {
			Matcher matcher = REPLICA.matcher(line.text());
			while (matcher.find()) {
				result.add((matcher.group(1) != null) ? matcher.group(1) : matcher.group(2));
			}
		}
		return result;
	}

	private static String describeCause(LogLine last, List<LogLine> timeline) {
		if (!FINAL_EVENTS.contains(last.event())) {
			return "The request has not ended in these lines: it was in progress, or its VM stopped unexpectedly.";
		}
		String status = last.field("status").orElse("?");
		String reason = last.lastField("cause").orElse("");
		return describeOutcome(status, last) + EndCause.explain(reason) + describeHedge(timeline)
				+ describeStoreOutage(reason, timeline);
	}

	private static String describeOutcome(String status, LogLine last) {
		String duration = last.field("millis").map((millis) -> " after " + millis + " ms").orElse("");
		String ran = switch (last.field("ran").orElse("")) {
			case "yes" -> "it ran";
			case "no" -> "it did not run";
			default -> "it may have run";
		};
		String end = status.equals("0") ? "Its connection was closed" : "It was answered with status " + status;
		return end + duration + "; " + ran + ". ";
	}

	private static String describeHedge(List<LogLine> timeline) {
		Optional<LogLine> sent = findLast("Hedged run sent", timeline);
		if (sent.isEmpty()) {
			return "";
		}
		String result = findLast("Hedged run ended", timeline).flatMap((line) -> line.field("result")).orElse("?");
		return " It was late, so a second run was hedged to " + sent.get().field("replica").orElse("?") + " beside "
				+ sent.get().field("first").orElse("?") + " after " + sent.get().field("delayMillis").orElse("?")
				+ " ms: " + result + ".";
	}

	private static Optional<LogLine> findLast(String event, List<LogLine> timeline) {
		return timeline.stream().filter((line) -> line.event().equals(event)).reduce((first, second) -> second);
	}

	private static String describeStoreOutage(String reason, List<LogLine> timeline) {
		if (!reason.startsWith(EndCause.RULES_STALE_PREFIX)) {
			return "";
		}
		return findLast("Store does not answer", timeline)
			.map((line) -> " The VM detected at " + line.time() + " that the store did not respond.")
			.orElse("");
	}

}
