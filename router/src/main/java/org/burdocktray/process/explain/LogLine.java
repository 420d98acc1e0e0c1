package org.burdocktray.process.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * One line of a VM's log: an event, and fields written as {@code name=value}, of which
 * the last may hold spaces. Thread safety: immutable.
 *
 * @param time when it was written, by the clock of its VM
 * @param vm the VM
 * @param event what happened, the words before the colon
 * @param text the fields
 */
public record LogLine(Instant time, String vm, String event, String text) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String SEPARATOR = ": ";

	/**
	 * Reads a line.
	 * @param line a line of JSON, or anything before it
	 * @return the line, empty when it is no log line
	 */
	public static Optional<LogLine> parse(String line) {
		int begin = line.indexOf('{');
		if (begin < 0) {
			return Optional.empty();
		}
		try {
			JsonNode json = MAPPER.readTree(line.substring(begin));
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
	 * Returns a field.
	 * @param name its name
	 * @return its value up to the next space, or empty
	 */
	public Optional<String> field(String name) {
		return Arrays.stream(this.text.split(" "))
			.filter((word) -> word.startsWith(name + "="))
			.map((word) -> word.substring(name.length() + 1))
			.filter((value) -> !value.isEmpty())
			.findFirst();
	}

	/**
	 * Returns a last field, whose value may hold spaces.
	 * @param name its name
	 * @return its value up to the end of the line, or empty
	 */
	public Optional<String> lastField(String name) {
		int begin = this.text.indexOf(name + "=");
		return (begin < 0) ? Optional.empty() : Optional.of(this.text.substring(begin + name.length() + 1));
	}

	boolean containsText(String word) {
		return this.text.contains(word);
	}

}
