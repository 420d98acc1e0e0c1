package org.burdocktray.request.chat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;

/**
 * Parses and validates the body of a chat request. Unknown members are ignored, because
 * existing clients send them. Errors in a member name the member. Thread safety:
 * stateless.
 */
public final class ChatRequestReader {

	private static final ObjectMapper MAPPER = new ObjectMapper()
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	/**
	 * Parses a body.
	 * @param body the body, JSON in UTF-8
	 * @return the request, or a refusal that names the fault
	 */
	public Either<Refusal, ChatRequest> read(byte[] body) {
		return parse(body).flatMap(this::toRequest);
	}

	private Either<Refusal, JsonNode> parse(byte[] body) {
		try {
			JsonNode root = MAPPER.readTree(body);
			return root.isObject() ? Either.right(root) : malformed("The body must be a JSON object");
		}
		catch (IOException ex) {
			return malformed("The body is not valid JSON");
		}
	}

	private Either<Refusal, ChatRequest> toRequest(JsonNode root) {
		JsonNode model = root.path("model");
		if (!model.isTextual() || model.textValue().isEmpty()) {
			return malformed("model: expected the name of a model");
		}
		JsonNode stream = root.path("stream");
		if (!isAbsent(stream) && !stream.isBoolean()) {
			return malformed("stream: expected true or false");
		}
		JsonNode choiceCount = root.path("n");
		if (!isAbsent(choiceCount) && choiceCount.asInt() != 1) {
			return malformed("n: only 1 is supported");
		}
		return readMaxTokens(root).flatMap((maxTokens) -> readMessages(root.path("messages"))
			.map((messages) -> new ChatRequest(model.textValue(), messages, stream.asBoolean(false), maxTokens)));
	}

	private static Either<Refusal, OptionalInt> readMaxTokens(JsonNode root) {
		String member = root.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
		JsonNode value = root.path(member);
		if (isAbsent(value)) {
			return Either.right(OptionalInt.empty());
		}
		if (!value.isInt() || value.intValue() < 1) {
			return malformed(member + ": expected a whole number above 0");
		}
		return Either.right(OptionalInt.of(value.intValue()));
	}

	private static Either<Refusal, List<String>> readMessages(JsonNode messages) {
		if (!messages.isArray() || messages.isEmpty()) {
			return malformed("messages: expected a list with at least one message");
		}
		List<String> texts = new ArrayList<>();
		for (int index = 0; index < messages.size(); index++) {
			JsonNode message = messages.get(index);
			String path = "messages[" + index + "]";
			if (!message.path("role").isTextual()) {
				return malformed(path + ".role: expected a text");
			}
			Either<Refusal, String> content = readContent(message.path("content"), path + ".content");
			if (content.isLeft()) {
				return Either.left(content.getLeft());
			}
			texts.add(message.path("role").textValue() + ": " + content.get() + '\n');
		}
		return Either.right(texts);
	}

	private static Either<Refusal, String> readContent(JsonNode content, String path) {
		if (content.isTextual()) {
			return Either.right(content.textValue());
		}
		if (!content.isArray()) {
			return malformed(path + ": expected a text or a list of text parts");
		}
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < content.size(); index++) {
			JsonNode partText = content.get(index).path("text");
			if (!partText.isTextual()) {
				return malformed(path + "[" + index + "].text: expected a text");
			}
			text.append(partText.textValue());
		}
		return Either.right(text.toString());
	}

	private static boolean isAbsent(JsonNode node) {
		return node.isMissingNode() || node.isNull();
	}

	private static <T> Either<Refusal, T> malformed(String detail) {
		return Either.left(Refusal.notRun(RefusalReason.MALFORMED, detail));
	}

}
