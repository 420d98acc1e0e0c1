package org.burdocktray.standins.model;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The tokens of the toy model. Invariant: the tokens of a text, joined, are the text.
 * Thread safety: stateless.
 */
public final class Tokens {

	/**
	 * The token that ends an answer once it is long enough.
	 */
	public static final String STOP = ".";

	/**
	 * The least number of tokens of an answer that ends by {@link #STOP}.
	 */
	public static final int MIN_TOKENS = 4;

	private static final int VOCABULARY_SIZE = 97;

	private static final String[] ONSETS = { "b", "d", "f", "g", "k", "l", "m", "n", "r", "s" };

	private static final String[] RIMES = { "a", "en", "i", "ol", "u", "ar", "es", "im", "on", "ut" };

	private static final Pattern TOKEN = Pattern.compile("\\s*\\S+|\\s+");

	private Tokens() {
	}

	/**
	 * Splits a text; white space stays at the head of the token that follows it.
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
	 * Returns the activation that enters layer 0.
	 * @param token the token
	 * @return its embedding
	 */
	public static long embed(String token) {
		return Mixing.hash(token);
	}

	/**
	 * Chooses the token that follows.
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
	 * Tells whether an answer ends by itself.
	 * @param generated the tokens generated so far
	 * @return whether no token follows
	 */
	public static boolean isComplete(List<String> generated) {
		if (generated.size() < MIN_TOKENS) {
			return false;
		}
		return generated.get(generated.size() - 1).equals(STOP);
	}

}
