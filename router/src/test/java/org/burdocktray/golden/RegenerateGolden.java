package org.burdocktray.golden;

import java.io.File;

import org.burdocktray.request.stream.StreamSessionInputHandler;

/**
 * Writes the expected output of all golden sessions anew. Run by
 * {@code scripts/regenerate-golden}, never by a test.
 */
public final class RegenerateGolden {

	private RegenerateGolden() {
	}

	/**
	 * Writes the golden files.
	 * @param args none
	 */
	public static void main(String[] args) {
		for (String file : new File("src/test/resources/golden/stream").list()) {
			GoldenSession.regenerate("stream/" + file, new StreamSessionInputHandler());
		}
	}

}
