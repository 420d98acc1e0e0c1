package org.burdocktray.process.serve.watch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.function.Predicate;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.WireFormat;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
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

	/** Smaller contents are copied for each answer. */
	private static final int MIN_SHARED_BYTES = 16_384;

	private final Predicate<String> keyCheck;

	private final FollowerAnswers answers;

	/** The last large content that was sent; compared by identity. */
	private ByteString sharedContent = ByteString.EMPTY;

	private Buffer sharedBuffer = Buffer.buffer();

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

	private void respond(HttpServerRequest request, WatchAnswer answer) {
		if (request.response().ended() || request.response().closed()) {
			return;
		}
		HttpServerResponse response = request.response().setStatusCode(OK);
		if (answer.getContent().size() < MIN_SHARED_BYTES) {
			response.end(Buffer.buffer(answer.toByteArray()));
			return;
		}
		Buffer head = head(answer);
		Buffer content = sharedContent(answer.getContent());
		response.putHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(head.length() + content.length()));
		response.write(head);
		response.end(content);
	}

	/**
	 * Encodes an answer up to its content, which is the last field.
	 * @param answer the answer
	 * @return the bytes before those of the content
	 */
	static Buffer head(WatchAnswer answer) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		CodedOutputStream output = CodedOutputStream.newInstance(bytes);
		try {
			answer.toBuilder().clearContent().build().writeTo(output);
			output.writeTag(WatchAnswer.CONTENT_FIELD_NUMBER, WireFormat.WIRETYPE_LENGTH_DELIMITED);
			output.writeUInt32NoTag(answer.getContent().size());
			output.flush();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return Buffer.buffer(bytes.toByteArray());
	}

	/**
	 * Returns a buffer that all answers with the same content share. It is outside of the
	 * heap, since a buffer of the heap is copied for each connection that it waits for.
	 * @param content the content
	 * @return the buffer, freed with the last answer that refers to it
	 */
	Buffer sharedContent(ByteString content) {
		if (this.sharedContent != content) {
			ByteBuffer bytes = ByteBuffer.allocateDirect(content.size());
			content.copyTo(bytes);
			bytes.flip();
			this.sharedContent = content;
			this.sharedBuffer = Buffer.buffer(Unpooled.wrappedBuffer(bytes));
		}
		return this.sharedBuffer;
	}

}
