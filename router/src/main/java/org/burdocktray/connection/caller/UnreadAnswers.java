package org.burdocktray.connection.caller;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/**
 * Counts what waits to be sent to one client, and notices that it reads nothing. Stands
 * before the codec. Thread safety: confined to the event loop of its connection.
 */
final class UnreadAnswers extends ChannelOutboundHandlerAdapter {

	/** Smaller ones are bounded by the number of connections. */
	private static final int LARGE_WRITE_BYTES = 8_192;

	private final ClientMemory memory;

	private final Runnable onAdded;

	private long bytes;

	private long waitingBytes;

	private long sentBytes;

	private long stuckSinceNanos;

	/**
	 * Creates the counter of a connection on which nothing waits.
	 * @param memory the memory for the answers of all clients
	 * @param onAdded called when more waits
	 */
	UnreadAnswers(ClientMemory memory, Runnable onAdded) {
		this.memory = memory;
		this.onAdded = onAdded;
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (!(message instanceof ByteBuf written) || written.readableBytes() < LARGE_WRITE_BYTES) {
			context.write(message, promise);
			return;
		}
		int count = written.readableBytes();
		add(count);
		ChannelPromise sent = promise.unvoid();
		sent.addListener((done) -> add(-count));
		context.write(message, sent);
		this.onAdded.run();
	}

	private void add(int count) {
		this.bytes += count;
		this.memory.addUnread(count);
	}

	/**
	 * Returns what waits of large answers.
	 * @return the number of bytes
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Returns whether nothing has been sent for a while, although something waits.
	 * @param waiting what waits to be sent, or null after the end of the connection
	 * @param nowNanos the monotonic time
	 * @param timeoutMillis the time
	 * @return false if nothing waits
	 */
	boolean isStuck(ChannelOutboundBuffer waiting, long nowNanos, long timeoutMillis) {
		long waitingNow = (waiting != null) ? waiting.totalPendingWriteBytes() : 0;
		long sentNow = (waiting != null) ? waiting.currentProgress() : 0;
		if (waitingNow == 0 || waitingNow != this.waitingBytes || sentNow != this.sentBytes) {
			this.waitingBytes = waitingNow;
			this.sentBytes = sentNow;
			this.stuckSinceNanos = nowNanos;
			return false;
		}
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.stuckSinceNanos) > timeoutMillis;
	}

}
