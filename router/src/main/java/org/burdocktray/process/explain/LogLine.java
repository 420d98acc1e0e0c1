package org.burdocktray.process.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A log line of a VM: an event and fields of the form {@code name=value}. The value of
 * the last field may contain spaces. Thread safety: immutable.
 *
 * @param time the time of the line by the clock of its VM
 * @param vm the name of the VM
 * @param event the text before the first colon
 * @param text the fields, empty if the message has no colon
 */
public record LogLine(Instant time, String vm, String event, String text) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String SEPARATOR = ": ";

	/**
	 * Parses a log line.
	 * @param line a JSON object, optionally preceded by other text without a brace
	 * @return the log line, empty if the text is not a log line
	 */
	public static Optional<LogLine> parse(String line) {
		int start = line.indexOf('{');
		if (start < 0) {
			return Optional.empty();
		}
		try {
			JsonNode json = MAPPER.readTree(line.substring(start));
			String message = json.path("message").asText();
			int colon = message.indexOf(SEPARATOR);
			String event = (colon < 0) ? message : message.substring(0, colon);
			String text = (colon < 0) ? "" : message.substring(colon + SEPARATOR.length());
			Instant time = Instant.parse(json.path("timestamp").asText());
			return Optional.of(new LogLine(time, json.path("hostName").asText(), event, text));
		}
		catch (JsonProcessingException | DateTimeParseException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns the value of a field that contains no spaces.
	 * @param name the name of the field
	 * @return the text up to the next space, empty if the field is missing or has no
	 * value
	 */
	public Optional<String> field(String name) {
		return Arrays.stream(this.text.split(" "))
			.filter((word) -> word.startsWith(name + "="))
			.map((word) -> word.substring(name.length() + 1))
			.filter((value) -> !value.isEmpty())
			.findFirst();
	}

	/**
	 * Returns the value of the last field, which may contain spaces.
	 * @param name the name of the field
	 * @return the text up to the end of the line, empty if the field is missing
	 */
	public Optional<String> lastField(String name) {
		int start = this.text.indexOf(name + "=");
		return (start < 0) ? Optional.empty() : Optional.of(this.text.substring(start + name.length() + 1));
	}

	boolean containsText(String word) {
		return this.text.contains(word);
	}

}
