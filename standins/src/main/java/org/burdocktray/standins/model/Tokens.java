package org.burdocktray.standins.model;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The tokenizer and vocabulary of the toy model. Concatenating the tokens of a text gives
 * the text. Thread safety: stateless.
 */
public final class Tokens {

	/**
	 * The token that ends a response of at least {@link #MIN_TOKENS} tokens.
	 */
	public static final String STOP = ".";

	/**
	 * The min number of tokens of a response that ends with {@link #STOP}.
	 */
	public static final int MIN_TOKENS = 4;

	private static final int VOCABULARY_SIZE = 97;

	private static final String[] ONSETS = { "b", "d", "f", "g", "k", "l", "m", "n", "r", "s" };

	private static final String[] RIMES = { "a", "en", "i", "ol", "u", "ar", "es", "im", "on", "ut" };

	private static final Pattern TOKEN = Pattern.compile("\\s*\\S+|\\s+");

	private Tokens() {
	}

	/**
	 * Splits a text into tokens. White space belongs to the token that follows it.
	 * @param text the text
	 * @return the tokens
	 */
	public static List<String> split(String text) {
		List<String> tokens = new ArrayList<>();
		Matcher matcher = TOKEN.matcher(text);
		while (matcher.find()) {
			tokens.add(matcher.group());
		}
		return tokens;
	}

	/**
	 * Returns the input activation of layer 0 for a token.
	 * @param token the token
	 * @return its embedding
	 */
	public static long embed(String token) {
		return Mixing.hash(token);
	}

	/**
	 * Returns the next token.
	 * @param activation the output of the last layer
	 * @return the token
	 */
	public static String decode(long activation) {
		int index = (int) Long.remainderUnsigned(activation, VOCABULARY_SIZE);
		if (index == 0) {
			return STOP;
		}
		return " " + ONSETS[index / RIMES.length] + RIMES[index % RIMES.length];
	}

	/**
	 * Returns whether a response ends with the stop token.
	 * @param generated the tokens generated so far
	 * @return true when no token follows
	 */
	public static boolean isComplete(List<String> generated) {
		if (generated.size() < MIN_TOKENS) {
			return false;
		}
		return generated.get(generated.size() - 1).equals(STOP);
	}

}
