import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON with maps, lists, strings, numbers and booleans. */
final class Json {

	private final String text;

	private int position;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json json = new Json(text);
		return json.value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> parseObject(String text) {
		return (Map<String, Object>) parse(text);
	}

	static Map<String, Object> object(Object... namesAndValues) {
		Map<String, Object> result = new LinkedHashMap<>();
		for (int index = 0; index < namesAndValues.length; index += 2) {
			result.put((String) namesAndValues[index], namesAndValues[index + 1]);
		}
		return result;
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			out.append('{');
			String separator = "";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(separator);
				writeString((String) entry.getKey(), out);
				out.append(':');
				write(entry.getValue(), out);
				separator = ",";
			}
			out.append('}');
		}
		else if (value instanceof List<?> list) {
			out.append('[');
			String separator = "";
			for (Object element : list) {
				out.append(separator);
				write(element, out);
				separator = ",";
			}
			out.append(']');
		}
		else if (value instanceof String string) {
			writeString(string, out);
		}
		else {
			out.append(value);
		}
	}

	private static void writeString(String string, StringBuilder out) {
		out.append('"');
		for (char character : string.toCharArray()) {
			if (character == '"' || character == '\\') {
				out.append('\\').append(character);
			}
			else if (character < ' ') {
				out.append(String.format("\\u%04x", (int) character));
			}
			else {
				out.append(character);
			}
		}
		out.append('"');
	}

	private Object value() {
		skipSpace();
		char first = this.text.charAt(this.position);
		return switch (first) {
			case '{' -> map();
			case '[' -> list();
			case '"' -> string();
			default -> literal();
		};
	}

	private Map<String, Object> map() {
		Map<String, Object> result = new LinkedHashMap<>();
		this.position++;
		while (!tryEnd('}')) {
			skipSpace();
			String name = string();
			skipSpace();
			this.position++;
			result.put(name, value());
		}
		return result;
	}

	private List<Object> list() {
		List<Object> result = new ArrayList<>();
		this.position++;
		while (!tryEnd(']')) {
			result.add(value());
		}
		return result;
	}

	private boolean tryEnd(char bracket) {
		skipSpace();
		if (this.text.charAt(this.position) == ',') {
			this.position++;
			skipSpace();
		}
		if (this.text.charAt(this.position) != bracket) {
			return false;
		}
		this.position++;
		return true;
	}

	private String string() {
		StringBuilder result = new StringBuilder();
		this.position++;
		while (this.text.charAt(this.position) != '"') {
			char character = this.text.charAt(this.position++);
			if (character != '\\') {
				result.append(character);
				continue;
			}
			char escaped = this.text.charAt(this.position++);
			switch (escaped) {
				case 'n' -> result.append('\n');
				case 't' -> result.append('\t');
				case 'r' -> result.append('\r');
				case 'b' -> result.append('\b');
				case 'f' -> result.append('\f');
				case 'u' -> {
					result.append((char) Integer.parseInt(this.text.substring(this.position, this.position + 4), 16));
					this.position += 4;
				}
				default -> result.append(escaped);
			}
		}
		this.position++;
		return result.toString();
	}

	private Object literal() {
		int start = this.position;
		while (this.position < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.position)) < 0) {
			this.position++;
		}
		String literal = this.text.substring(start, this.position);
		return switch (literal) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> literal.matches("-?[0-9]+") ? (Object) Long.valueOf(literal) : Double.valueOf(literal);
		};
	}

	private void skipSpace() {
		while (Character.isWhitespace(this.text.charAt(this.position))) {
			this.position++;
		}
	}

}
