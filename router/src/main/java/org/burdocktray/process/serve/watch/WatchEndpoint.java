package org.burdocktray.process.serve.watch;

import java.util.function.Predicate;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.connection.peer.generated.WatchAnswer;
import org.burdocktray.connection.peer.generated.WatchRequest;
import org.burdocktray.process.watch.FollowerAnswers;

/**
 * Receives the requests of VMs that ask this one for objects of the store. Thread safety:
 * none, confined to one event loop.
 */
public final class WatchEndpoint {

	static final String PATH = "/burdocktray/watch";

	static final String KEY_HEADER = "Watch-Key";

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int MAX_REQUEST_BYTES = 1_024;

	private final Predicate<String> keyCheck;

	private final FollowerAnswers answers;

	/**
	 * Creates an endpoint.
	 * @param keyCheck whether a text, or null, is the key of the VMs
	 * @param answers answers the requests
	 */
	public WatchEndpoint(Predicate<String> keyCheck, FollowerAnswers answers) {
		this.keyCheck = keyCheck;
		this.answers = answers;
	}

	/**
	 * Returns whether a request is one for objects, of a VM that knows the key. Callers
	 * do not know it, so no relayed request of a caller is one.
	 * @param request the request
	 * @return whether it is to be handled here
	 */
	public boolean accepts(HttpServerRequest request) {
		return request.method() == HttpMethod.POST && PATH.equals(request.path())
				&& this.keyCheck.test(request.getHeader(KEY_HEADER));
	}

	/**
	 * Handles a request.
	 * @param request the request, accepted before
	 */
	public void handle(HttpServerRequest request) {
		Buffer body = Buffer.buffer();
		request.handler((part) -> {
			if (body.length() + part.length() > MAX_REQUEST_BYTES) {
				request.connection().close();
				return;
			}
			body.appendBuffer(part);
		});
		request.endHandler((end) -> answer(request, body));
	}

	private void answer(HttpServerRequest request, Buffer body) {
		try {
			this.answers.handle(WatchRequest.parseFrom(body.getBytes()), (answer) -> respond(request, answer));
		}
		catch (InvalidProtocolBufferException ex) {
			request.response().setStatusCode(BAD_REQUEST).end();
		}
	}

	private static void respond(HttpServerRequest request, WatchAnswer answer) {
		if (request.response().ended() || request.response().closed()) {
			return;
		}
		request.response().setStatusCode(OK).end(Buffer.buffer(answer.toByteArray()));
	}

}
