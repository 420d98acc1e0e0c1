package org.burdocktray.process.burn;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;

/**
 * One sample of the Prometheus text format. Thread safety: immutable.
 *
 * @param name the name of the metric
 * @param labels the labels, with escape sequences resolved
 * @param value the value
 */
record SampleLine(String name, Map<String, String> labels, double value) {

	SampleLine {
		labels = Map.copyOf(labels);
	}

	/**
	 * Parses a line that is not a comment.
	 * @param line the line
	 * @return the sample, or an error message
	 */
	static Either<String, SampleLine> parse(String line) {
		return new Parser(line).parse()
			.<Either<String, SampleLine>>map(Either::right)
			.orElseGet(() -> Either.left("not a sample: " + line));
	}

	/**
	 * Parses one line from left to right. Thread safety: confined to one thread.
	 */
	private static final class Parser {

		private final String line;

		private int position;

		Parser(String line) {
			this.line = line;
		}

		Optional<SampleLine> parse() {
			String name = readUntil("{ ");
			Map<String, String> labels = new HashMap<>();
			if (name.isEmpty() || (isAt('{') && !readLabels(labels)) || !isAt(' ')) {
				return Optional.empty();
			}
			String[] valueAndTimestamp = this.line.substring(this.position).trim().split(" ");
			return readValue(valueAndTimestamp[0]).map((value) -> new SampleLine(name, labels, value));
		}

		private boolean readLabels(Map<String, String> labels) {
			this.position++;
			while (!isAt('}')) {
				String label = readUntil("=").trim();
				if (!consume('=') || !consume('"')) {
					return false;
				}
				labels.put(label, readQuoted());
				if (!consume('"')) {
					return false;
				}
				consume(',');
			}
			return consume('}');
		}

		private String readQuoted() {
			StringBuilder text = new StringBuilder();
			while (this.position < this.line.length() && !isAt('"')) {
				char current = this.line.charAt(this.position++);
				boolean escaped = current == '\\' && this.position < this.line.length();
				text.append(escaped ? unescape(this.line.charAt(this.position++)) : current);
			}
			return text.toString();
		}

		private String readUntil(String ends) {
			int start = this.position;
			while (this.position < this.line.length() && ends.indexOf(this.line.charAt(this.position)) < 0) {
				this.position++;
			}
			return this.line.substring(start, this.position);
		}

		private boolean isAt(char expected) {
			return this.position < this.line.length() && this.line.charAt(this.position) == expected;
		}

		private boolean consume(char expected) {
			if (!isAt(expected)) {
				return false;
			}
			this.position++;
			return true;
		}

		private static char unescape(char escaped) {
			return (escaped == 'n') ? '\n' : escaped;
		}

		private static Optional<Double> readValue(String text) {
			try {
				return Optional.of(Double.valueOf(text.replace("Inf", "Infinity")));
			}
			catch (NumberFormatException ex) {
				return Optional.empty();
			}
		}

	}

}
