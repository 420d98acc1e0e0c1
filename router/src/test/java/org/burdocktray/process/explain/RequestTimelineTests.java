package org.burdocktray.process.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestTimelineTests {

	private final List<LogLine> log = new ArrayList<>();

	@Test
	void returnsEmptyIfNoLineNamesTheRequest() {
		addLine(1, "vm-1", "Request ended: request=other status=200 ran=yes millis=10 cause=answered by i-1");
		assertThat(RequestTimeline.of("r1", this.log)).isEmpty();
	}

	@Test
	void explainsARefusalForLackOfCapacity() {
		addLine(2, "vm-1",
				"Attempt failed: request=r1 replica=i-1 path=i-1=0-5,i-2=5-10 outcome=REJECTED cause=status 503"
						+ " faultAt=10.0.0.2:1");
		addLine(3, "vm-1", "Request ended: request=r1 status=503 ran=no millis=1600 "
				+ "cause=no replica can take the request; last attempt: status 503");
		assertThat(timeline("r1").cause()).startsWith("It was answered with status 503 after 1600 ms; it did not run.")
			.contains("No replica of the service, or no complete path of engines, had free capacity");
	}

	@Test
	void reportsThatACallWithUnknownOutcomeMayHaveRun() {
		addLine(3, "vm-1",
				"Request ended: request=r1 status=502 ran=unknown millis=20 cause=Connection reset; last attempt: x");
		assertThat(timeline("r1").cause()).contains("it may have run").contains("could not be sent again");
	}

	@Test
	void namesAHedgedRunAndWhichRunWon() {
		addLine(2, "vm-1", "Hedged run sent: request=r1 replica=i-2 path= first=i-1 delayMillis=53");
		addLine(3, "vm-1", "Hedged run ended: request=r1 replica=i-2 result=second_won");
		addLine(3, "vm-1", "Request ended: request=r1 status=200 ran=yes millis=90 cause=answered by i-2");
		assertThat(timeline("r1").cause()).contains("hedged to i-2 beside i-1 after 53 ms: second_won.");
	}

	@Test
	void includesMissingReportsOfTheEnginesOfAnAbortedStream() {
		addLine(1, "vm-1", "Engine gave no report: replica=i-2 fault=no answer in 500 ms");
		addLine(1, "vm-2", "Engine gave no report: replica=i-2 fault=no answer in 500 ms");
		addLine(1, "vm-1", "Engine gave no report: replica=i-9 fault=no answer in 500 ms");
		addLine(2, "vm-1", "Path changed: request=r1 dead=i-2 path=i-1=0-5,i-3=5-10 answer=REFUSED");
		addLine(3, "vm-1", "Request ended: request=r1 status=0 ran=unknown millis=2500 "
				+ "cause=stream broken off: no replica can take the request");
		RequestTimeline timeline = timeline("r1");
		assertThat(timeline.cause()).startsWith("Its connection was closed").contains("The stream was aborted.");
		assertThat(timeline.lines()).extracting(LogLine::event)
			.containsExactly("Engine gave no report", "Path changed", "Request ended");
	}

	@Test
	void statesSinceWhenTheStoreIsUnavailableIfTheRulesAreStale() {
		addLine(1, "vm-1", "Store does not answer: kind=config error=UNAVAILABLE");
		addLine(5, "vm-1", "Request turned away: request=r1 status=503 ran=no cause=rules are too old to accept keys");
		assertThat(timeline("r1").cause()).endsWith("detected at " + time(1) + " that the store did not respond.");
	}

	@Test
	void reportsARequestWithoutFinalLineAsNotEnded() {
		addLine(1, "vm-1", "Attempt failed: request=r1 replica=i-1 path= outcome=LOST cause=reset faultAt=");
		assertThat(timeline("r1").cause()).startsWith("The request has not ended");
	}

	@Test
	void excludesLinesOfOtherTimesAndRequests() {
		addLine(1, "vm-1", "Rules in force: version=1 revision=1");
		addLine(30, "vm-1", "Attempt failed: request=r2 replica=i-1 path= outcome=LOST cause=reset faultAt=");
		addLine(30, "vm-1", "Request ended: request=r1 status=200 ran=yes millis=100 cause=answered by i-1");
		addLine(31, "vm-1", "Rules in force: version=2 revision=2");
		assertThat(timeline("r1").lines()).hasSize(1);
	}

	@Test
	void ignoresTextThatIsNotALogLine() {
		assertThat(LogLine.parse("Picked up options")).isEmpty();
		assertThat(LogLine.parse("{\"message\":\"x\"}")).isEmpty();
		assertThat(LogLine.parse("{broken")).isEmpty();
	}

	private RequestTimeline timeline(String requestId) {
		return RequestTimeline.of(requestId, this.log).orElseThrow();
	}

	private void addLine(int second, String vm, String message) {
		String json = "{\"timestamp\":\"" + time(second) + "\",\"hostName\":\"" + vm + "\",\"message\":\"" + message
				+ "\"}";
		this.log.add(LogLine.parse("  1.5 " + vm + " " + json).orElseThrow());
	}

	private static Instant time(int second) {
		return Instant.parse("2026-01-01T00:00:00Z").plusSeconds(second);
	}

}
