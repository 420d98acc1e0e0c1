package org.burdocktray.request.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class EventFramerTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid:3\r\ndata: c\r\n\r\n";

	private static final int MAX_EVENT_BYTES = 65_536;

	private final EventFramer framer = new EventFramer();

	@Test
	void buffersIncompleteEvent() {
		assertThat(accept("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(this.framer.hasPartialEvent()).isTrue();
		assertThat(this.framer.lastEventId()).contains("1");
		assertThat(accept("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
		assertThat(this.framer.hasPartialEvent()).isFalse();
		assertThat(this.framer.lastEventId()).contains("2");
	}

	@Test
	void resetDiscardsIncompleteEvent() {
		accept("id: 1\n\nid: 2\nda");
		this.framer.reset();
		assertThat(accept("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
	}

	@Test
	void returnsEveryByteOnceForRandomChunkSizes() {
		Random random = new Random(7);
		for (int run = 0; run < 200; run++) {
			EventFramer randomlyChunked = new EventFramer();
			ByteArrayOutputStream received = new ByteArrayOutputStream();
			byte[] bytes = STREAM.getBytes(StandardCharsets.US_ASCII);
			int from = 0;
			while (from < bytes.length) {
				int to = Math.min(bytes.length, from + 1 + random.nextInt(9));
				received.writeBytes(randomlyChunked.accept(Arrays.copyOfRange(bytes, from, to)));
				from = to;
			}
			assertThat(received.toString(StandardCharsets.US_ASCII)).isEqualTo(STREAM);
			assertThat(randomlyChunked.lastEventId()).contains("3");
		}
	}

	/** The events before the one that is too large must not be lost. */
	@Test
	void returnsCompleteEventsBeforeEventWithoutEnd() {
		assertThat(accept("id: 1\ndata: a\n\ndata: " + "x".repeat(MAX_EVENT_BYTES + 1)))
			.isEqualTo("id: 1\ndata: a\n\n");
		assertThatThrownBy(() -> accept("x")).isInstanceOf(EventTooLargeException.class);
		assertThat(this.framer.lastEventId()).contains("1");
		this.framer.reset();
		assertThat(accept("id: 2\n\n")).isEqualTo("id: 2\n\n");
	}

	@Test
	void throwsWhenCommentsContinueWithoutEvent() {
		assertThatThrownBy(() -> {
			for (int index = 0; index < MAX_EVENT_BYTES; index++) {
				accept(": x\n\n");
			}
		}).isInstanceOf(EventTooLargeException.class);
	}

	@Test
	void acceptsStreamOfAnySizeWithIds() {
		for (int index = 0; index < MAX_EVENT_BYTES; index++) {
			accept("id: 1\ndata: some text\n\n");
		}
		assertThat(this.framer.hasPartialEvent()).isFalse();
	}

	/** Guards against a search for the end that starts again with each chunk. */
	@Test
	void timePerByteDoesNotGrowWithEvent() {
		byte[] chunk = { 'x' };
		long startNanos = System.nanoTime();
		for (int index = 0; index < MAX_EVENT_BYTES; index++) {
			this.framer.accept(chunk);
		}
		assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofMillis(300));
	}

	private String accept(String text) {
		return new String(this.framer.accept(text.getBytes(StandardCharsets.US_ASCII)), StandardCharsets.US_ASCII);
	}

}
