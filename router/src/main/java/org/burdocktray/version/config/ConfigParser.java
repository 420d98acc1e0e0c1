package org.burdocktray.version.config;

import java.io.IOException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;

/**
 * Parses JSON with comments into {@link ConfigNode}s. A duplicate key in an object is a
 * fault; the first value is kept so that the rest of the file can be checked. Thread
 * safety: not thread-safe; one instance parses one file.
 */
final class ConfigParser {

	private static final JsonFactory JSON = JsonFactory.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.build();

	private final JsonParser parser;

	private final FaultCollector faults;

	private ConfigParser(JsonParser parser, FaultCollector faults) {
		this.parser = parser;
		this.faults = faults;
	}

	/**
	 * Parses the text of a file.
	 * @param text the text
	 * @param faults collects the faults of the file
	 * @return the root value, empty if the text is not valid JSON
	 */
	static Optional<ConfigNode> parse(String text, FaultCollector faults) {
		try (JsonParser json = JSON.createParser(text)) {
			ConfigParser parser = new ConfigParser(json, faults);
			return parser.parseRoot();
		}
		catch (IOException ex) {
			throw new IllegalStateException("I/O error while parsing a string", ex);
		}
	}

	private Optional<ConfigNode> parseRoot() throws IOException {
		try {
			if (this.parser.nextToken() == null) {
				this.faults.add(1, ConfigObject.ROOT_PATH, "an object", "an empty file");
				return Optional.empty();
			}
			ConfigNode root = parseValue(ConfigObject.ROOT_PATH);
			if (this.parser.nextToken() != null) {
				this.faults.add(line(), ConfigObject.ROOT_PATH, "the end of the file", this.parser.getText());
			}
			return Optional.of(root);
		}
		catch (JsonProcessingException ex) {
			String problem = ex.getOriginalMessage().replaceAll("\\s+", " ");
			this.faults.add(ex.getLocation().getLineNr(), path(this.parser.getParsingContext()), "valid JSON", problem);
			return Optional.empty();
		}
	}

	private ConfigNode parseValue(String valuePath) throws IOException {
		int line = line();
		return switch (this.parser.currentToken()) {
			case START_OBJECT -> parseObject(valuePath, line);
			case START_ARRAY -> parseList(valuePath, line);
			case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parseNumber(this.parser.getText(), line);
			case VALUE_TRUE, VALUE_FALSE -> new ConfigNode.BooleanNode(line, this.parser.getBooleanValue());
			case VALUE_NULL -> new ConfigNode.NullNode(line);
			default -> new ConfigNode.TextNode(line, this.parser.getText());
		};
	}

	private ConfigNode parseObject(String objectPath, int line) throws IOException {
		Map<String, ConfigNode> fields = new LinkedHashMap<>();
		while (this.parser.nextToken() != JsonToken.END_OBJECT) {
			String name = this.parser.currentName();
			String fieldPath = ConfigObject.childPath(objectPath, name);
			int nameLine = line();
			this.parser.nextToken();
			ConfigNode value = parseValue(fieldPath);
			if (fields.putIfAbsent(name, value) != null) {
				this.faults.add(nameLine, fieldPath, "each key once in an object", "a duplicate key");
			}
		}
		return new ConfigNode.ObjectNode(line, fields);
	}

	private ConfigNode parseList(String listPath, int line) throws IOException {
		List<ConfigNode> items = new ArrayList<>();
		while (this.parser.nextToken() != JsonToken.END_ARRAY) {
			items.add(parseValue(listPath + "[" + items.size() + "]"));
		}
		return new ConfigNode.ListNode(line, items);
	}

	private static ConfigNode parseNumber(String literal, int line) {
		try {
			return new ConfigNode.NumberNode(line, new BigDecimal(literal), literal);
		}
		catch (NumberFormatException ex) {
			return new ConfigNode.HugeNumberNode(line, literal);
		}
	}

	private int line() {
		return this.parser.currentTokenLocation().getLineNr();
	}

	private static String path(JsonStreamContext context) {
		if (context.inRoot()) {
			return ConfigObject.ROOT_PATH;
		}
		String parent = path(context.getParent());
		if (context.inArray()) {
			return parent + "[" + Math.max(0, context.getCurrentIndex()) + "]";
		}
		return context.hasCurrentName() ? ConfigObject.childPath(parent, context.getCurrentName()) : parent;
	}

}
