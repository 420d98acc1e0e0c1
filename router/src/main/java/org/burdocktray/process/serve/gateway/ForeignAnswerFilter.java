package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.burdocktray.model.NetworkAddress;

/**
 * Passes over second answers to earlier requests, so that the answer behind them is read.
 * Stands between the HTTP codec and the client. An answer that exceeds a bound ends the
 * connection, or is left to the client, which ends it. Thread safety: confined to the
 * event loop of its connection.
 */
final class ForeignAnswerFilter extends ChannelDuplexHandler {

	/**
	 * How long the end of an answer that is passed over may take. A request waits for it,
	 * and its answer would be taken for a part of it.
	 */
	static final long MAX_FOREIGN_MILLIS = 100;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final NetworkAddress server;

	private final int localPort;

	private final String requestIdHeader;

	private final Consumer<ForeignAnswer> listener;

	private final AnswerMatcher matcher;

	private long lastEndNanos = System.nanoTime();

	/** Distinguishes the answers that are passed over. */
	private int foreignNumber;

	private boolean isInterim;

	/**
	 * Creates the filter of a connection on which no request has been sent.
	 * @param server the address of the replica
	 * @param localPort the port of this VM on the connection
	 * @param carried the last requests of the connection
	 * @param requestIdHeader the header that holds the id of a request in requests and
	 * answers
	 * @param listener is told of each answer that is passed over
	 */
	ForeignAnswerFilter(NetworkAddress server, int localPort, CarriedRequests carried, String requestIdHeader,
			Consumer<ForeignAnswer> listener) {
		this.matcher = new AnswerMatcher(carried);
		this.server = server;
		this.localPort = localPort;
		this.requestIdHeader = requestIdHeader;
		this.listener = listener;
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof HttpRequest request) {
			this.matcher.onRequest(readId(request), HttpMethod.HEAD.equals(request.method()));
		}
		context.write(message, promise);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.matcher.isPassingOver()) {
			readForeignContent(context, message);
			return;
		}
		if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
			Optional<String> answerId = readId(response);
			this.isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			if (!this.isInterim && this.matcher.passesOver(answerId)) {
				beginForeignAnswer(context, response, answerId.orElseThrow());
				return;
			}
		}
		if (message instanceof LastHttpContent) {
			endAnswer();
		}
		context.fireChannelRead(message);
	}

	// Several ids tell nothing.
	private Optional<String> readId(HttpMessage message) {
		List<String> ids = message.headers().getAll(this.requestIdHeader);
		return (ids.size() == 1) ? Optional.of(ids.get(0)) : Optional.empty();
	}

	// The codec ends an interim answer as well.
	private void endAnswer() {
		if (this.isInterim) {
			this.isInterim = false;
			return;
		}
		this.matcher.endAnswer();
		this.lastEndNanos = System.nanoTime();
	}

	private void beginForeignAnswer(ChannelHandlerContext context, HttpResponse response, String foundId) {
		this.foreignNumber++;
		long lateMillis = (System.nanoTime() - this.lastEndNanos) / NANOS_PER_MILLI;
		this.listener.accept(new ForeignAnswer(this.server, this.localPort, response.status().code(),
				AnswerOrigin.shorten(foundId), this.matcher.idInProgress(), lateMillis));
		if (response instanceof HttpContent) {
			readForeignContent(context, response);
			return;
		}
		ReferenceCountUtil.release(response);
		closeUnlessForeignAnswerEnds(context);
	}

	private void readForeignContent(ChannelHandlerContext context, Object message) {
		try {
			boolean isReadable = message instanceof HttpObject part && part.decoderResult().isSuccess();
			if (!isReadable || !addBytes(message)) {
				context.close();
				return;
			}
			if (message instanceof LastHttpContent) {
				this.matcher.endForeignAnswer();
				this.lastEndNanos = System.nanoTime();
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private boolean addBytes(Object message) {
		return !(message instanceof HttpContent content)
				|| this.matcher.addForeignBytes(content.content().readableBytes());
	}

	private void closeUnlessForeignAnswerEnds(ChannelHandlerContext context) {
		int number = this.foreignNumber;
		context.executor().schedule(() -> {
			if (this.matcher.isPassingOver() && this.foreignNumber == number) {
				context.close();
			}
		}, MAX_FOREIGN_MILLIS, TimeUnit.MILLISECONDS);
	}

}
