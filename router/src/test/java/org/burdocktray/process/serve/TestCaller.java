package org.burdocktray.process.serve;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.burdocktray.model.NetworkAddress;

/**
 * Sends requests to a router over HTTP. Thread safety: safe for use by multiple threads.
 *
 * @param address the address of the router
 * @param apiKey the API key
 */
record TestCaller(NetworkAddress address, String apiKey) {

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private static final String DATA_PREFIX = "data: ";

	private static final int STATUS_OK = 200;

	static JsonObject chatBody(String userText, boolean stream) {
		return new JsonObject().put("model", TestFleet.MODEL)
			.put("stream", stream)
			.put("messages", new JsonArray().add(new JsonObject().put("role", "user").put("content", userText)));
	}

	/**
	 * Sends a request whose prompt has several messages.
	 * @param texts the texts of the messages in order
	 * @return the response
	 */
	HttpResponse<String> chatWithMessages(String... texts) {
		JsonArray messages = new JsonArray();
		for (String text : texts) {
			messages.add(new JsonObject().put("role", "user").put("content", text));
		}
		JsonObject body = new JsonObject().put("model", TestFleet.MODEL).put("messages", messages);
		return send("POST", "/v1/chat/completions", body.encode()).join();
	}

	HttpResponse<String> chat(String userText) {
		return chatAsync(userText).join();
	}

	CompletableFuture<HttpResponse<String>> chatAsync(String userText) {
		return send("POST", "/v1/chat/completions", chatBody(userText, false).encode());
	}

	CompletableFuture<StreamedResponse> streamAsync(String userText) {
		HttpRequest request = builder("/v1/chat/completions")
			.POST(HttpRequest.BodyPublishers.ofString(chatBody(userText, true).encode()))
			.build();
		return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofLines())
			.thenApply((response) -> readStream(response));
	}

	CompletableFuture<HttpResponse<String>> send(String method, String path, String body, String... headers) {
		HttpRequest.Builder builder = builder(path).method(method, HttpRequest.BodyPublishers.ofString(body));
		if (headers.length > 0) {
			builder.headers(headers);
		}
		return CLIENT.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString());
	}

	static String responseText(HttpResponse<String> response) {
		return new JsonObject(response.body()).getJsonArray("choices")
			.getJsonObject(0)
			.getJsonObject("message")
			.getString("content");
	}

	private HttpRequest.Builder builder(String path) {
		return HttpRequest.newBuilder(URI.create("http://" + this.address + path))
			.header("Authorization", "Bearer " + this.apiKey);
	}

	private static StreamedResponse readStream(HttpResponse<Stream<String>> response) {
		if (response.statusCode() != STATUS_OK) {
			return new StreamedResponse(response.statusCode(), response.body().collect(Collectors.joining()), false);
		}
		List<String> data = response.body()
			.filter((line) -> line.startsWith(DATA_PREFIX))
			.map((line) -> line.substring(DATA_PREFIX.length()))
			.toList();
		boolean done = !data.isEmpty() && data.get(data.size() - 1).equals("[DONE]");
		StringBuilder text = new StringBuilder();
		data.stream()
			.filter((line) -> line.contains("\"content\""))
			.forEach((line) -> text.append(new JsonObject(line).getJsonArray("choices")
				.getJsonObject(0)
				.getJsonObject("delta")
				.getString("content")));
		return new StreamedResponse(response.statusCode(), text.toString(), done);
	}

	/**
	 * A streamed response as received by the caller.
	 *
	 * @param status the HTTP status
	 * @param text the tokens in order, or the problem details of a refusal
	 * @param done whether the stream ended with the terminator {@code [DONE]}
	 */
	record StreamedResponse(int status, String text, boolean done) {

	}

}
