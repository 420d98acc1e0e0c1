package org.burdocktray.connection.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Notices when the final answer to a request has been sent to its last byte. Stands
 * behind the codec. Thread safety: confined to the event loop of its connection.
 */
final class AnswerEnds extends ChannelOutboundHandlerAdapter {

	private final Runnable onEnd;

	AnswerEnds(Runnable onEnd) {
		this.onEnd = onEnd;
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (!(message instanceof LastHttpContent) || isInterim(message)) {
			context.write(message, promise);
			return;
		}
		ChannelPromise observed = promise.unvoid();
		observed.addListener((sent) -> this.onEnd.run());
		context.write(message, observed);
	}

	private static boolean isInterim(Object message) {
		return message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
	}

}
