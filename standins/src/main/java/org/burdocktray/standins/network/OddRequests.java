package org.burdocktray.standins.network;

import java.nio.charset.StandardCharsets;

/**
 * Requests, whole and in part, that cost a server more than their bytes. Thread safety:
 * stateless.
 */
public final class OddRequests {

	private static final int HEAD_BYTES = 15_000;

	private OddRequests() {
	}

	/**
	 * Returns a request line and the headers of an ordinary request, without the empty
	 * line behind them.
	 * @param method the method
	 * @param path the path
	 * @param key the client's API key
	 * @return the beginning of a head
	 */
	public static String start(String method, String path, String key) {
		return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Burdocktray-Request-Id: odd\r\n"
				+ "X-Burdocktray-Deadline-Ms: 8000\r\nAuthorization: Bearer " + key + "\r\n";
	}

	/**
	 * Adds short header lines, whose names all differ, up to 15,000 bytes.
	 * @param start the beginning of the head
	 * @return the head without the empty line behind it
	 */
	public static String withShortLines(String start) {
		StringBuilder head = new StringBuilder(start);
		for (int index = 0; head.length() < HEAD_BYTES; index++) {
			head.append(shortLine(index));
		}
		return head.toString();
	}

	private static String shortLine(int index) {
		return "x" + Integer.toString(index, Character.MAX_RADIX) + ":\r\n";
	}

	/**
	 * Returns a body in chunks without its end, whose trailers are short lines.
	 * @return the bytes behind the head
	 */
	public static String unfinishedTrailers() {
		return withShortLines("1\r\nx\r\n0\r\n");
	}

	/**
	 * Returns the bytes of a request.
	 * @param text the request
	 * @return a byte for each character
	 */
	public static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
