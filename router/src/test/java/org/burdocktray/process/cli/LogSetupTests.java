package org.burdocktray.process.cli;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The format of log lines.
 */
class LogSetupTests {

	@Test
	void formatsRecordAsOneLineOfJson() throws IOException {
		ExtLogRecord logged = new ExtLogRecord(Level.WARN, "two\nlines", LogSetupTests.class.getName());
		logged.setLoggerName("org.burdocktray");
		logged.setThrown(new IllegalStateException("broken"));
		String line = LogSetup.createFormatter().format(logged);
		assertThat(line.trim().lines()).hasSize(1);
		JsonNode json = new ObjectMapper().readTree(line);
		assertThat(json.get("level").asText()).isEqualTo("WARN");
		assertThat(json.get("message").asText()).isEqualTo("two\nlines");
		assertThat(json.get("stackTrace").asText()).contains("IllegalStateException: broken");
	}

	/**
	 * Guards against processes that run out of memory by lines which wait to be written:
	 * each held a text from outside whole.
	 */
	@Test
	void shortensLongMessages() {
		ExtLogRecord logged = new ExtLogRecord(Level.WARN, "entry=%s", ExtLogRecord.FormatStyle.PRINTF,
				LogSetupTests.class.getName());
		logged.setParameters(new Object[] { "x".repeat(1 << 20) });
		AsyncHandler queue = LogSetup.createQueue(new ConsoleHandler());
		assertThat(queue.getFilter().isLoggable(logged)).isTrue();
		assertThat(logged.getFormattedMessage()).startsWith("entry=xxx")
			.endsWith("(1048582 characters)")
			.hasSizeLessThan(10_000);
		assertThat(logged.getParameters()).isNull();
	}

	/**
	 * Guards against a log in which nobody can tell whether lines are missing: the
	 * numbers of the lines that are left have a gap.
	 */
	@Test
	void droppedLinesLeaveGapInSequence() throws InterruptedException {
		CountDownLatch writable = new CountDownLatch(1);
		Set<Long> written = ConcurrentHashMap.newKeySet();
		AsyncHandler queue = LogSetup.createQueue(new ExtHandler() {
			@Override
			protected void doPublish(ExtLogRecord logged) {
				awaitUninterruptibly(writable);
				written.add(logged.getSequenceNumber());
			}
		});
		ExtLogRecord first = line();
		queue.publish(first);
		IntStream.range(0, 2 * queue.getQueueLength()).forEach((index) -> queue.publish(line()));
		writable.countDown();
		ExtLogRecord last = line();
		while (!written.contains(last.getSequenceNumber())) {
			queue.publish(last);
			TimeUnit.MILLISECONDS.sleep(1);
		}
		queue.close();
		long numbers = last.getSequenceNumber() - first.getSequenceNumber() + 1;
		assertThat(numbers - written.size()).isGreaterThanOrEqualTo(queue.getQueueLength() - 1);
	}

	@Test
	void leavesOtherMessagesAsTheyAre() {
		ExtLogRecord logged = new ExtLogRecord(Level.WARN, "entry=%s", ExtLogRecord.FormatStyle.PRINTF,
				LogSetupTests.class.getName());
		logged.setParameters(new Object[] { "i-1" });
		assertThat(new LogMessageLimit().isLoggable(logged)).isTrue();
		assertThat(logged.getFormattedMessage()).isEqualTo("entry=i-1");
	}

	private static ExtLogRecord line() {
		return new ExtLogRecord(Level.INFO, "line", ExtLogRecord.FormatStyle.NO_FORMAT, LogSetupTests.class.getName());
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
