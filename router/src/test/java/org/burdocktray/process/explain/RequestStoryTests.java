package org.burdocktray.process.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestStoryTests {

	private final List<LogLine> log = new ArrayList<>();

	@Test
	void requestWithoutLinesHasNoStory() {
		line(1, "vm-1", "Request ended: request=other status=200 ran=yes millis=10 cause=answered by i-1");
		assertThat(RequestStory.of("r1", this.log)).isEmpty();
	}

	@Test
	void refusalUnderLoadNamesTheMissingRoom() {
		line(2, "vm-1", "Attempt failed: request=r1 replica=i-1 path=i-1=0-5,i-2=5-10 outcome=REJECTED cause=status 503"
				+ " faultAt=10.0.0.2:1");
		line(3, "vm-1", "Request ended: request=r1 status=503 ran=no millis=1600 "
				+ "cause=no replica can take the request; last attempt: status 503");
		assertThat(story("r1").cause()).startsWith("It was answered with status 503 after 1600 ms; it did not run.")
			.contains("No replica of the service, or no whole path of engines, had room");
	}

	@Test
	void unsafeCallWithUnknownOutcomeMayHaveRun() {
		line(3, "vm-1",
				"Request ended: request=r1 status=502 ran=unknown millis=20 cause=Connection reset; last attempt: x");
		assertThat(story("r1").cause()).contains("it may have run").contains("could not be sent again");
	}

	@Test
	void brokenStreamTellsOfTheEngineThatFellSilent() {
		line(1, "vm-1", "Engine gave no report: replica=i-2 fault=no answer in 500 ms");
		line(1, "vm-2", "Engine gave no report: replica=i-2 fault=no answer in 500 ms");
		line(1, "vm-1", "Engine gave no report: replica=i-9 fault=no answer in 500 ms");
		line(2, "vm-1", "Path changed: request=r1 dead=i-2 path=i-1=0-5,i-3=5-10 answer=REFUSED");
		line(3, "vm-1", "Request ended: request=r1 status=0 ran=unknown millis=2500 "
				+ "cause=stream broken off: no replica can take the request");
		RequestStory story = story("r1");
		assertThat(story.cause()).startsWith("Its connection was closed").contains("The stream was broken off.");
		assertThat(story.lines()).extracting(LogLine::event)
			.containsExactly("Engine gave no report", "Path changed", "Request ended");
	}

	@Test
	void refusalForOldRulesSaysSinceWhenTheStoreIsLost() {
		line(1, "vm-1", "Store does not answer: kind=config error=UNAVAILABLE");
		line(5, "vm-1", "Request turned away: request=r1 status=503 ran=no cause=rules are too old to accept keys");
		assertThat(story("r1").cause()).endsWith("noticed at " + time(1) + " that the store did not answer.");
	}

	@Test
	void requestWithoutAFinalLineHasNotEnded() {
		line(1, "vm-1", "Attempt failed: request=r1 replica=i-1 path= outcome=LOST cause=reset faultAt=");
		assertThat(story("r1").cause()).startsWith("The request has not ended");
	}

	@Test
	void linesOfOtherTimesAndRequestsAreLeftOut() {
		line(1, "vm-1", "Rules in force: version=1 revision=1");
		line(30, "vm-1", "Attempt failed: request=r2 replica=i-1 path= outcome=LOST cause=reset faultAt=");
		line(30, "vm-1", "Request ended: request=r1 status=200 ran=yes millis=100 cause=answered by i-1");
		line(31, "vm-1", "Rules in force: version=2 revision=2");
		assertThat(story("r1").lines()).hasSize(1);
	}

	@Test
	void textThatIsNoLogLineIsPassedOver() {
		assertThat(LogLine.parse("Picked up options")).isEmpty();
		assertThat(LogLine.parse("{\"message\":\"x\"}")).isEmpty();
		assertThat(LogLine.parse("{broken")).isEmpty();
	}

	private RequestStory story(String requestId) {
		return RequestStory.of(requestId, this.log).orElseThrow();
	}

	private void line(int second, String vm, String message) {
		String json = "{\"timestamp\":\"" + time(second) + "\",\"hostName\":\"" + vm + "\",\"message\":\"" + message
				+ "\"}";
		this.log.add(LogLine.parse("  1.5 " + vm + " " + json).orElseThrow());
	}

	private static Instant time(int second) {
		return Instant.parse("2026-01-01T00:00:00Z").plusSeconds(second);
	}

}
