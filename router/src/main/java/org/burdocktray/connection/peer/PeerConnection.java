package org.burdocktray.connection.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.NetworkAddress;

/**
 * The connection to one address. Invariants: there is at most one channel or connection
 * attempt; each request is in exactly one of {@code unsent} and {@code sent} until its
 * outcome is delivered once. A request that fails in {@code unsent} is reported as not
 * sent, a request that fails in {@code sent} as unresolved. Thread safety: all state is
 * confined to one event loop, on which {@link #send} and {@link #close} schedule their
 * work.
 */
final class PeerConnection {

	private static final long REMOVAL_DELAY_MILLIS = 60_000;

	private final NetworkAddress address;

	private final EventLoop eventLoop;

	private final PeerTransportLimits limits;

	private final Consumer<PeerConnection> unusedListener;

	private final Map<Long, PendingRequest> unsent = new LinkedHashMap<>();

	private final Map<Long, PendingRequest> sent = new LinkedHashMap<>();

	private Channel channel;

	private boolean connecting;

	private boolean closed;

	private long lastRequestId;

	private long backoffMillis;

	private long retryAtNanos;

	PeerConnection(NetworkAddress address, EventLoop eventLoop, PeerTransportLimits limits,
			Consumer<PeerConnection> unusedListener) {
		this.address = address;
		this.eventLoop = eventLoop;
		this.limits = limits;
		this.unusedListener = unusedListener;
	}

	void send(PeerEnvelope request, long timeoutMillis, SingleEmitter<Either<PeerError, PeerEnvelope>> reply) {
		this.eventLoop.execute(() -> enqueue(request, timeoutMillis, reply));
	}

	void close() {
		this.eventLoop.execute(() -> {
			this.closed = true;
			failAll(this.unsent, PeerError.NOT_SENT);
			if (this.channel != null) {
				this.channel.close();
			}
		});
	}

	private void enqueue(PeerEnvelope request, long timeoutMillis,
			SingleEmitter<Either<PeerError, PeerEnvelope>> reply) {
		if (this.closed || this.unsent.size() + this.sent.size() >= this.limits.maxPendingRequests()
				|| isBackingOff()) {
			reply.onSuccess(Either.left(PeerError.NOT_SENT));
			return;
		}
		long requestId = ++this.lastRequestId;
		Future<?> timeout = this.eventLoop.schedule(() -> onTimeout(requestId), timeoutMillis, TimeUnit.MILLISECONDS);
		PeerEnvelope message = request.toBuilder().setRequestId(requestId).build();
		this.unsent.put(requestId, new PendingRequest(message, reply, timeout));
		if (isConnected()) {
			sendPending();
		}
		else if (!this.connecting) {
			connect();
		}
	}

	private boolean isConnected() {
		return this.channel != null && this.channel.isActive();
	}

	private boolean isBackingOff() {
		return !isConnected() && this.backoffMillis > 0 && System.nanoTime() - this.retryAtNanos < 0;
	}

	private void connect() {
		this.connecting = true;
		new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.limits.connectTimeoutMillis())
			.handler(new PeerChannelInitializer(this.limits, () -> new PeerClientHandler(this::onReply)))
			.connect(new InetSocketAddress(this.address.ip(), this.address.port()))
			.addListener((ChannelFuture attempt) -> onConnectionAttemptEnd(attempt));
	}

	private void onConnectionAttemptEnd(ChannelFuture attempt) {
		this.connecting = false;
		if (!attempt.isSuccess()) {
			backOff();
			failAll(this.unsent, PeerError.NOT_SENT);
			this.eventLoop.schedule(this::removeIfUnused, REMOVAL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		if (this.closed) {
			attempt.channel().close();
			return;
		}
		this.backoffMillis = 0;
		this.channel = attempt.channel();
		this.channel.closeFuture().addListener((closing) -> onDisconnect());
		sendPending();
	}

	private void backOff() {
		long doubled = Math.max(this.limits.minBackoffMillis(), 2 * this.backoffMillis);
		this.backoffMillis = Math.min(doubled, this.limits.maxBackoffMillis());
		this.retryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.backoffMillis);
	}

	private void sendPending() {
		this.unsent.forEach((requestId, request) -> {
			this.sent.put(requestId, request);
			this.channel.write(request.message());
		});
		this.unsent.clear();
		this.channel.flush();
	}

	private void onReply(PeerEnvelope reply) {
		PendingRequest request = this.sent.remove(reply.getRequestId());
		// A reply after the timeout no longer has a pending request.
		if (request != null) {
			request.succeed(reply);
		}
	}

	private void onTimeout(long requestId) {
		PendingRequest unsentRequest = this.unsent.remove(requestId);
		if (unsentRequest != null) {
			unsentRequest.fail(PeerError.NOT_SENT);
			return;
		}
		PendingRequest sentRequest = this.sent.remove(requestId);
		if (sentRequest != null) {
			sentRequest.fail(PeerError.UNRESOLVED);
		}
	}

	private void onDisconnect() {
		this.channel = null;
		failAll(this.sent, PeerError.UNRESOLVED);
		removeIfUnused();
	}

	private void removeIfUnused() {
		if (this.channel == null && !this.connecting && !isBackingOff()) {
			this.unusedListener.accept(this);
		}
	}

	private void failAll(Map<Long, PendingRequest> requests, PeerError error) {
		List<PendingRequest> failed = new ArrayList<>(requests.values());
		requests.clear();
		failed.forEach((request) -> request.fail(error));
	}

}
