package org.burdocktray.connection.http;

/**
 * The grammar of the lines of an answer: status lines, field lines and sizes of chunks
 * (RFC 9112, sections 4, 5 and 7.1; RFC 9110, sections 5.1, 5.5, 5.6.2 and 15). Obsolete
 * forms that are no longer generated, such as folded fields, count as faults. A space
 * that is missing behind a status is not one. Thread safety: stateless.
 */
final class AnswerSyntax {

	private static final String VERSION_START = "HTTP/1.";

	/** The version with its minor number, and a space. */
	private static final int STATUS_BEGIN = VERSION_START.length() + 2;

	private static final int STATUS_END = STATUS_BEGIN + 3;

	private static final int MIN_STATUS = 100;

	private static final int MAX_STATUS = 599;

	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	/** Leaves room below the range of a long. */
	private static final int MAX_HEX_DIGITS = 15;

	private static final int MAX_DIGITS = 18;

	private AnswerSyntax() {
	}

	/**
	 * Reads the status of a status line.
	 * @param line the line without its end
	 * @return the status, from 100 to 599
	 * @throws InvalidAnswerException if the line is no status line
	 */
	static int readStatus(String line) {
		if (!line.startsWith(VERSION_START) || line.length() < STATUS_END || !isDigit(line.charAt(STATUS_BEGIN - 2))
				|| line.charAt(STATUS_BEGIN - 1) != ' ') {
			throw new InvalidAnswerException("version in the status line");
		}
		int status = (int) readDigits(line, STATUS_BEGIN, STATUS_END);
		boolean isFollowedBySpace = line.length() == STATUS_END || line.charAt(STATUS_END) == ' ';
		if (status < MIN_STATUS || status > MAX_STATUS || !isFollowedBySpace) {
			throw new InvalidAnswerException("status");
		}
		if (!isText(line, STATUS_END)) {
			throw new InvalidAnswerException("reason phrase");
		}
		return status;
	}

	/**
	 * Returns whether a text may become a status line, or an empty line before one.
	 * @param text the beginning of a line
	 * @return false if the line can't be valid
	 */
	static boolean mayBeginStatusLine(String text) {
		return VERSION_START.startsWith(text) || text.startsWith(VERSION_START) || "\r".equals(text);
	}

	/**
	 * Returns whether a status line names the version 1.0.
	 * @param line a valid status line
	 * @return whether transfer codings are unknown to its sender
	 */
	static boolean isVersion10(String line) {
		return line.charAt(VERSION_START.length()) == '0';
	}

	/**
	 * Checks a field line.
	 * @param line the line without its end
	 * @return the index of the colon behind the name
	 * @throws InvalidAnswerException if the line is no field line
	 */
	static int checkField(String line) {
		int colon = line.indexOf(':');
		if (colon <= 0) {
			throw new InvalidAnswerException("field without a name");
		}
		for (int index = 0; index < colon; index++) {
			if (!isTokenCharacter(line.charAt(index))) {
				throw new InvalidAnswerException("name of a field");
			}
		}
		if (!isText(line, colon + 1)) {
			throw new InvalidAnswerException("value of a field");
		}
		return colon;
	}

	/**
	 * Reads the value of {@code Content-Length}.
	 * @param value the value without white space around it
	 * @return the length in bytes
	 * @throws InvalidAnswerException if the value is no length
	 */
	static long readLength(String value) {
		long length = (value.length() <= MAX_DIGITS) ? readDigits(value, 0, value.length()) : -1;
		if (value.isEmpty() || length < 0) {
			throw new InvalidAnswerException("length");
		}
		return length;
	}

	/**
	 * Reads the line before a chunk.
	 * @param line the line without its end
	 * @return the size of the chunk in bytes
	 * @throws InvalidAnswerException if the line holds no size, or other bytes than
	 * extensions behind it
	 */
	static long readChunkSize(String line) {
		int digits = 0;
		while (digits < line.length() && Character.digit(line.charAt(digits), 16) >= 0) {
			digits++;
		}
		int next = digits;
		while (next < line.length() && isBlank(line.charAt(next))) {
			next++;
		}
		boolean isExtended = next < line.length();
		if (digits == 0 || digits > MAX_HEX_DIGITS || (isExtended && line.charAt(next) != ';') || !isText(line, next)) {
			throw new InvalidAnswerException("size of a chunk");
		}
		return Long.parseLong(line, 0, digits, 16);
	}

	// Returns -1 if there are other characters.
	private static long readDigits(String text, int from, int to) {
		long number = 0;
		for (int index = from; index < to; index++) {
			if (!isDigit(text.charAt(index))) {
				return -1;
			}
			number = 10 * number + (text.charAt(index) - '0');
		}
		return number;
	}

	private static boolean isDigit(char character) {
		return character >= '0' && character <= '9';
	}

	private static boolean isBlank(char character) {
		return character == ' ' || character == '\t';
	}

	private static boolean isTokenCharacter(char character) {
		return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || isDigit(character)
				|| TOKEN_SYMBOLS.indexOf(character) >= 0;
	}

	// Visible characters, blanks, and bytes beyond ASCII.
	private static boolean isText(String line, int from) {
		for (int index = from; index < line.length(); index++) {
			char character = line.charAt(index);
			boolean isControl = (character < ' ' && character != '\t') || character == 0x7f;
			if (isControl) {
				return false;
			}
		}
		return true;
	}

}
