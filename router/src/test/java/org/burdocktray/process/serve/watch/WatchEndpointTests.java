package org.burdocktray.process.serve.watch;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import org.burdocktray.connection.peer.generated.WatchAnswer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that take memory for each VM that receives them.
 */
class WatchEndpointTests {

	private final WatchEndpoint endpoint = new WatchEndpoint((key) -> true, null);

	@Test
	void answersWithTheSameContentShareIt() throws Exception {
		ByteString content = ByteString.copyFrom(new byte[4 << 20]);
		WatchAnswer first = answer(1, content);
		WatchAnswer second = answer(2, content);
		Buffer shared = this.endpoint.sharedContent(first.getContent());
		assertThat(this.endpoint.sharedContent(second.getContent())).isSameAs(shared);
		assertThat(WatchAnswer.parseFrom(WatchEndpoint.head(first).appendBuffer(shared).getBytes())).isEqualTo(first);
		assertThat(WatchAnswer.parseFrom(WatchEndpoint.head(second).appendBuffer(shared).getBytes())).isEqualTo(second);
	}

	@Test
	void otherContentIsNotTakenForTheLast() {
		this.endpoint.sharedContent(ByteString.copyFrom(new byte[20_000]));
		ByteString other = ByteString.copyFromUtf8("x".repeat(20_000));
		assertThat(this.endpoint.sharedContent(other).getBytes()).isEqualTo(other.toByteArray());
	}

	private static WatchAnswer answer(long requestId, ByteString content) {
		return WatchAnswer.newBuilder()
			.setRequestId(requestId)
			.setStatus(WatchAnswer.Status.STATUS_OK)
			.setRevision(7)
			.setAgeMillis(3)
			.setContent(content)
			.build();
	}

}
