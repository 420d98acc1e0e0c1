package org.burdocktray.process.cli;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * Serves the part of the platform's object API that the commands use, over HTTP. Thread
 * safety: safe for use by multiple threads.
 */
final class FakePlatformServer implements AutoCloseable {

	private final Vertx vertx = Vertx.vertx();

	private final Map<String, JsonObject> objects = new ConcurrentHashMap<>();

	private final AtomicInteger responsesToLose = new AtomicInteger();

	private volatile boolean dropsWrites;

	private final HttpServer server;

	private long revision;

	FakePlatformServer() {
		this.server = this.vertx.createHttpServer()
			.requestHandler((request) -> request.body().onSuccess((body) -> handle(request, body)))
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
	}

	String address() {
		return "127.0.0.1:" + this.server.actualPort();
	}

	void loseResponsesToWrites(int count) {
		this.responsesToLose.set(count);
	}

	void dropWrites() {
		this.dropsWrites = true;
	}

	private void handle(HttpServerRequest request, Buffer body) {
		String key = request.path().substring("/v1/objects/".length());
		boolean isWrite = request.method() != HttpMethod.GET;
		if (isWrite && this.dropsWrites) {
			request.connection().close();
			return;
		}
		int status = status(request.method(), key, body);
		if (isWrite && this.responsesToLose.getAndUpdate((remaining) -> Math.max(0, remaining - 1)) > 0) {
			request.connection().close();
			return;
		}
		request.response()
			.setStatusCode(status)
			.end((status < 300) ? this.objects.get(key).toBuffer() : Buffer.buffer());
	}

	private int status(HttpMethod method, String key, Buffer body) {
		JsonObject current = this.objects.get(key);
		if (method == HttpMethod.GET) {
			return (current != null) ? 200 : 404;
		}
		JsonObject write = body.toJsonObject();
		boolean isExpected = (method == HttpMethod.POST) ? current == null
				: current != null && current.getLong("version").equals(write.getLong("expectedVersion"));
		if (!isExpected) {
			return 409;
		}
		this.revision++;
		this.objects.put(key,
				new JsonObject().put("key", key).put("version", this.revision).put("value", write.getString("value")));
		return 200;
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

}
