package org.burdocktray.connection.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.connection.peer.generated.RequestFailed;
import org.jboss.logging.Logger;

/**
 * Handles the requests received on a connection. Invariants: reading from the socket is
 * paused while at least {@code maxPendingRequests} requests are in progress or the
 * channel is not writable, because the peer does not read the replies; an invalid frame
 * closes the connection. Thread safety: all state is confined to the channel's event
 * loop.
 */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerEnvelope> {

	private static final Logger LOGGER = Logger.getLogger(PeerServerHandler.class);

	private final PeerRequestHandler requestHandler;

	private final int maxPendingRequests;

	private final CompositeDisposable inProgress = new CompositeDisposable();

	private int pendingRequests;

	PeerServerHandler(PeerRequestHandler requestHandler, int maxPendingRequests) {
		this.requestHandler = requestHandler;
		this.maxPendingRequests = maxPendingRequests;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, PeerEnvelope request) {
		this.pendingRequests++;
		updateAutoRead(context);
		this.inProgress.add(Single.defer(() -> this.requestHandler.handle(request))
			.subscribe((reply) -> reply(context, request, reply), (failure) -> fail(context, request, failure)));
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		updateAutoRead(context);
		context.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.inProgress.dispose();
		context.fireChannelInactive();
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent) {
			context.close();
			return;
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		LOGGER.debugf("Peer connection closed: peer=%s cause=%s", context.channel().remoteAddress(), cause);
		context.close();
	}

	private void reply(ChannelHandlerContext context, PeerEnvelope request, PeerEnvelope reply) {
		PeerEnvelope correlated = reply.toBuilder().setRequestId(request.getRequestId()).build();
		context.executor().execute(() -> {
			this.pendingRequests--;
			context.writeAndFlush(correlated);
			updateAutoRead(context);
		});
	}

	private void fail(ChannelHandlerContext context, PeerEnvelope request, Throwable failure) {
		LOGGER.warnf(failure, "Peer request failed: sender=%s body=%s", request.getSenderVm(), request.getBodyCase());
		RequestFailed body = RequestFailed.newBuilder().setDetail("internal error").build();
		reply(context, request, PeerEnvelope.newBuilder().setRequestFailed(body).build());
	}

	private void updateAutoRead(ChannelHandlerContext context) {
		boolean canRead = this.pendingRequests < this.maxPendingRequests && context.channel().isWritable();
		context.channel().config().setAutoRead(canRead);
	}

}
