package org.burdocktray.connection.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the server side of a connection on an embedded channel.
 */
class PeerServerHandlerTests {

	private static final PeerTransportLimits LIMITS = new PeerTransportLimits(64, 100, 60_000, 100, 100, 2);

	private static final PeerEnvelope REQUEST = PeerEnvelope.newBuilder().setRequestId(7).build();

	@Test
	void closesOnAFrameOverTheLimitBeforeItsBodyArrives() {
		EmbeddedChannel channel = channel((request) -> Single.just(request));
		channel.writeInbound(Unpooled.buffer().writeInt(LIMITS.maxFrameBytes() + 1));
		assertThat(channel.isOpen()).isFalse();
	}

	@Test
	void closesOnAFrameThatIsNotAnEnvelope() {
		EmbeddedChannel channel = channel((request) -> Single.just(request));
		channel.writeInbound(frame(new byte[] { -1, -1, -1, -1 }));
		assertThat(channel.isOpen()).isFalse();
	}

	@Test
	void answersAFrameThatArrivesByteByByte() {
		EmbeddedChannel channel = channel((request) -> Single.just(PeerEnvelope.getDefaultInstance()));
		ByteBuf bytes = frame(REQUEST.toByteArray());
		while (bytes.isReadable()) {
			channel.writeInbound(bytes.readBytes(1));
		}
		channel.runPendingTasks();
		assertThat((ByteBuf) channel.readOutbound()).isEqualTo(Unpooled.buffer().writeInt(2));
		assertThat((ByteBuf) channel.readOutbound()).isEqualTo(Unpooled.wrappedBuffer(REQUEST.toByteArray()));
	}

	@Test
	void pausesReadingAtThePendingLimitAndResumesAfterAReply() {
		SingleSubject<PeerEnvelope> reply = SingleSubject.create();
		EmbeddedChannel channel = channel((request) -> reply);
		channel.writeInbound(frame(REQUEST.toByteArray()));
		assertThat(channel.config().isAutoRead()).isTrue();
		channel.writeInbound(frame(REQUEST.toByteArray()));
		assertThat(channel.config().isAutoRead()).isFalse();
		reply.onSuccess(PeerEnvelope.getDefaultInstance());
		channel.runPendingTasks();
		assertThat(channel.config().isAutoRead()).isTrue();
	}

	@Test
	void closesAnIdleConnection() {
		EmbeddedChannel channel = channel((request) -> Single.just(request));
		channel.pipeline().fireUserEventTriggered(IdleStateEvent.FIRST_ALL_IDLE_STATE_EVENT);
		assertThat(channel.isOpen()).isFalse();
	}

	private static EmbeddedChannel channel(PeerRequestHandler handler) {
		return new EmbeddedChannel(
				new PeerChannelInitializer(LIMITS, () -> new PeerServerHandler(handler, LIMITS.maxPendingRequests())));
	}

	private static ByteBuf frame(byte[] body) {
		return Unpooled.buffer().writeInt(body.length).writeBytes(body);
	}

}
