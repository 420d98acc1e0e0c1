package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Splits JSON texts into fields and elements, whose values stay raw text. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Map<String, String> fields(String object) {
		Json json = new Json(object);
		Map<String, String> fields = new LinkedHashMap<>();
		json.expect('{');
		while (json.peek() != '}') {
			String name = unquote(json.rawValue());
			json.expect(':');
			fields.put(name, json.rawValue());
			if (json.peek() == ',') {
				json.at++;
			}
		}
		return fields;
	}

	static List<String> elements(String array) {
		Json json = new Json(array);
		List<String> elements = new ArrayList<>();
		json.expect('[');
		while (json.peek() != ']') {
			elements.add(json.rawValue());
			if (json.peek() == ',') {
				json.at++;
			}
		}
		return elements;
	}

	static String unquote(String raw) {
		return raw.substring(1, raw.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
	}

	static String quote(String text) {
		return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
	}

	private char peek() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private void expect(char expected) {
		if (peek() != expected) {
			throw new IllegalArgumentException("expected " + expected + " at " + this.at);
		}
		this.at++;
	}

	private String rawValue() {
		char first = peek();
		int start = this.at;
		if (first == '"') {
			skipString();
		}
		else if (first == '{' || first == '[') {
			skipNested();
		}
		else {
			while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
				this.at++;
			}
		}
		return this.text.substring(start, this.at);
	}

	private void skipString() {
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			this.at += (this.text.charAt(this.at) == '\\') ? 2 : 1;
		}
		this.at++;
	}

	private void skipNested() {
		int depth = 0;
		do {
			char next = this.text.charAt(this.at);
			if (next == '"') {
				skipString();
				continue;
			}
			depth += (next == '{' || next == '[') ? 1 : (next == '}' || next == ']') ? -1 : 0;
			this.at++;
		}
		while (depth > 0);
	}

}
