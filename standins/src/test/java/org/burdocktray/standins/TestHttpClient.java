package org.burdocktray.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;

/**
 * An HTTP client for tests. Thread safety: immutable.
 *
 * @param standIn the stand-in to call
 */
public record TestHttpClient(HttpStandIn standIn) {

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	public HttpResponse<String> get(String path) throws IOException, InterruptedException {
		return CLIENT.send(request(path).GET().build(), HttpResponse.BodyHandlers.ofString());
	}

	public HttpResponse<Stream<String>> getLines(String path) throws IOException, InterruptedException {
		return CLIENT.send(request(path).GET().build(), HttpResponse.BodyHandlers.ofLines());
	}

	public HttpResponse<String> send(String method, String path, Object body, String... headers)
			throws IOException, InterruptedException {
		HttpRequest.Builder builder = request(path).method(method,
				HttpRequest.BodyPublishers.ofString(JsonBodies.encode(body)));
		if (headers.length > 0) {
			builder.headers(headers);
		}
		return CLIENT.send(builder.build(), HttpResponse.BodyHandlers.ofString());
	}

	public JsonObject getJson(String path) throws IOException, InterruptedException {
		return new JsonObject(get(path).body());
	}

	private HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://" + this.standIn.address() + path));
	}

}
