package org.burdocktray.connection.caller;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.vavr.control.Either;

/**
 * Stands before the codec of one client's connection and passes on one request at a time:
 * its head when it is complete and its memory is reserved, its body as it comes, and the
 * next request when the answer has been sent. Invariants: what the codec gets is at most
 * one request without its answer; what is held here is at most a head and as many bytes
 * sent ahead; a request that is refused here has not been passed on. Thread safety:
 * confined to the event loop of its connection.
 */
final class RequestGuard extends ChannelInboundHandlerAdapter {

	private static final int MIN_READ_BYTES = 512;

	private static final int FIRST_READ_BYTES = 2_048;

	private static final int MAX_READ_BYTES = 16_384;

	/** Keeps one connection from taking a turn of the event loop for itself. */
	private static final int READS_PER_TURN = 4;

	/** A client that is turned away has this long to read why. */
	private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long MAX_DISCARDED_BYTES = 65_536;

	private final ClientConnections connections;

	private final ClientMemory memory;

	private final HeadBuffer head = new HeadBuffer();

	private final UnreadAnswers unreadAnswers;

	private ChannelHandlerContext context;

	/** The body that is due. */
	private Optional<RequestBody> body = Optional.empty();

	/** Requests that were sent before the answer to the last one. */
	private ByteBuf ahead = Unpooled.EMPTY_BUFFER;

	private long unparsedBytes;

	private long reservedBytes;

	private boolean isAnswering;

	private boolean isReadingPaused;

	/** Set as well after the end of the connection. */
	private boolean isRefused;

	private long discardedBytes;

	private long sinceNanos = System.nanoTime();

	RequestGuard(ClientConnections connections, ClientMemory memory) {
		this.connections = connections;
		this.memory = memory;
		this.unreadAnswers = new UnreadAnswers(memory, connections::limitUnreadBytes);
	}

	/**
	 * Returns the handler of what is sent. It stands before the codec as well.
	 * @return the handler
	 */
	ChannelHandler unreadAnswers() {
		return this.unreadAnswers;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		AdaptiveRecvByteBufAllocator reads = new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES,
				MAX_READ_BYTES);
		added.channel().config().setRecvByteBufAllocator(reads.maxMessagesPerRead(READS_PER_TURN));
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		this.isRefused = true;
		this.connections.remove(this);
		releaseHeld();
		releaseReserved();
		inactive.fireChannelInactive();
	}

	@Override
	public void channelRead(ChannelHandlerContext read, Object message) {
		if (!(message instanceof ByteBuf bytes)) {
			read.fireChannelRead(message);
			return;
		}
		try {
			if (!this.ahead.isReadable()) {
				passOn(bytes);
			}
			if (bytes.isReadable()) {
				keep(bytes);
			}
		}
		finally {
			bytes.release();
		}
	}

	private void passOn(ByteBuf bytes) {
		while (bytes.isReadable() && !this.isRefused) {
			if (this.body.isPresent()) {
				passBody(bytes, this.body.get());
			}
			else if (this.isAnswering) {
				return;
			}
			else {
				readHead(bytes);
			}
		}
	}

	private void keep(ByteBuf bytes) {
		if (this.isRefused) {
			discard(bytes.readableBytes());
			return;
		}
		// A new buffer, since the codec may still hold parts of the old one.
		ByteBuf longer = Unpooled.buffer(this.ahead.readableBytes() + bytes.readableBytes());
		this.ahead = longer.writeBytes(this.ahead).writeBytes(bytes);
		if (this.ahead.readableBytes() >= this.connections.limits().maxHeaderBytes()) {
			this.isReadingPaused = true;
			channel().config().setAutoRead(false);
		}
		countHeld();
	}

	private void discard(int count) {
		this.discardedBytes += count;
		if (this.discardedBytes > MAX_DISCARDED_BYTES) {
			channel().close();
		}
	}

	private void readHead(ByteBuf bytes) {
		if (this.head.isEmpty()) {
			this.sinceNanos = System.nanoTime();
		}
		switch (this.head.read(bytes, this.connections.limits().maxHeaderBytes())) {
			case TOO_LARGE -> refuse(ClientRefusal.HEAD_TOO_LARGE);
			case COMPLETE -> passHead();
			default -> countHeld();
		}
	}

	private void passHead() {
		byte[] bytes = this.head.bytes();
		int length = this.head.length();
		long footprint = MemoryBudget.footprint(length, this.head.elements());
		Either<String, RequestFraming> framing = RequestFraming.read(bytes, length);
		if (framing.isLeft()) {
			refuse(ClientRefusal.INVALID_FRAMING);
			return;
		}
		if (!this.memory.heads().reserve(footprint)) {
			refuse(ClientRefusal.HEADS_IN_PROGRESS);
			return;
		}
		this.reservedBytes = footprint;
		this.isAnswering = true;
		this.head.clear();
		countHeld();
		this.body = Optional.of(new RequestBody(framing.get())).filter((next) -> !next.isEnded());
		this.connections.move(this,
				this.body.isPresent() ? ClientConnections.State.SENDING : ClientConnections.State.WAITING);
		this.context.fireChannelRead(Unpooled.wrappedBuffer(bytes, 0, length));
	}

	private void passBody(ByteBuf bytes, RequestBody current) {
		ByteBuf read = current.read(bytes, this.connections.limits().maxHeaderBytes());
		if (current.isInvalid()) {
			read.release();
			refuse(ClientRefusal.INVALID_BODY);
			return;
		}
		if (current.isEnded()) {
			endBody();
		}
		if (!read.isReadable()) {
			read.release();
			return;
		}
		this.context.fireChannelRead(read);
	}

	private void endBody() {
		this.body = Optional.empty();
		if (this.isAnswering) {
			this.connections.move(this, ClientConnections.State.WAITING);
			return;
		}
		endRequest();
	}

	/** Handles that the final answer has been sent, or can't be sent any more. */
	void onAnswerSent() {
		if (!this.isAnswering || this.isRefused) {
			return;
		}
		this.isAnswering = false;
		this.sinceNanos = System.nanoTime();
		if (this.body.isEmpty()) {
			endRequest();
		}
	}

	// The codec holds the head until the body is complete, also after the answer.
	private void endRequest() {
		releaseReserved();
		this.connections.move(this, ClientConnections.State.IDLE);
		beginIdle();
	}

	private void beginIdle() {
		this.sinceNanos = System.nanoTime();
		if (this.ahead.isReadable() || this.isReadingPaused) {
			// The codec must have finished with the answer.
			channel().eventLoop().execute(this::passAhead);
		}
	}

	private void passAhead() {
		if (this.isRefused) {
			return;
		}
		passOn(this.ahead);
		countHeld();
		this.context.fireChannelReadComplete();
		if (this.isReadingPaused && !this.ahead.isReadable()) {
			this.isReadingPaused = false;
			channel().config().setAutoRead(true);
		}
	}

	/**
	 * Turns the client away. It gets an answer if it waits for one that has not been
	 * begun.
	 * @param refusal the reason
	 */
	void refuse(ClientRefusal refusal) {
		if (this.isRefused) {
			channel().close();
			return;
		}
		this.isRefused = true;
		this.connections.onRefused(this, refusal);
		releaseHeld();
		this.sinceNanos = System.nanoTime();
		if (this.isAnswering || !refusal.hasAnswer()) {
			channel().close();
			return;
		}
		channel().config().setAutoRead(true);
		this.context.writeAndFlush(Unpooled.wrappedBuffer(refusal.answer())).addListener((sent) -> {
			if (channel() instanceof SocketChannel socket && socket.isActive()) {
				socket.shutdownOutput();
			}
		});
	}

	/**
	 * Enforces the time limits.
	 * @param nowNanos the monotonic time
	 */
	void checkTime(long nowNanos) {
		ClientLimits limits = this.connections.limits();
		if (this.isRefused) {
			if (nowNanos - this.sinceNanos > LINGER_NANOS) {
				channel().close();
			}
			return;
		}
		if (this.unreadAnswers.isStuck(channel().unsafe().outboundBuffer(), nowNanos, limits.writeTimeoutMillis())) {
			refuse(ClientRefusal.ANSWER_UNREAD);
			return;
		}
		overdue(limits, nowNanos).ifPresent(this::refuse);
	}

	private Optional<ClientRefusal> overdue(ClientLimits limits, long nowNanos) {
		long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.sinceNanos);
		if (this.body.isPresent()) {
			long pauseMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.body.get().lastReadNanos());
			boolean isAbandoned = !this.isAnswering && millis > limits.headerTimeoutMillis();
			return (isAbandoned || pauseMillis > limits.idleTimeoutMillis()) ? Optional.of(ClientRefusal.BODY_LATE)
					: Optional.empty();
		}
		if (this.isAnswering) {
			return Optional.empty();
		}
		if (this.head.isEmpty()) {
			return (millis > limits.idleTimeoutMillis()) ? Optional.of(ClientRefusal.IDLE) : Optional.empty();
		}
		return (millis > limits.headerTimeoutMillis()) ? Optional.of(ClientRefusal.HEAD_LATE) : Optional.empty();
	}

	/**
	 * Returns the bytes of large answers that the client has not read.
	 * @return the bytes that wait to be sent
	 */
	long unreadBytes() {
		return this.unreadAnswers.bytes();
	}

	long unparsedBytes() {
		return this.unparsedBytes;
	}

	void close() {
		channel().close();
	}

	private Channel channel() {
		return this.context.channel();
	}

	private void countHeld() {
		if (!this.ahead.isReadable()) {
			this.ahead = Unpooled.EMPTY_BUFFER;
		}
		long held = (long) this.head.heldBytes() + this.ahead.capacity();
		long added = held - this.unparsedBytes;
		this.unparsedBytes = held;
		this.memory.addUnparsed(added);
		if (added > 0) {
			this.connections.limitUnparsedBytes();
		}
	}

	private void releaseHeld() {
		this.head.clear();
		this.ahead = Unpooled.EMPTY_BUFFER;
		this.memory.addUnparsed(-this.unparsedBytes);
		this.unparsedBytes = 0;
	}

	private void releaseReserved() {
		this.memory.heads().release(this.reservedBytes);
		this.reservedBytes = 0;
	}

}
