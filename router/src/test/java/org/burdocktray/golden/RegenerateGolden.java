package org.burdocktray.golden;

import java.io.File;

import org.burdocktray.request.stream.StreamSessionInputHandler;

/**
 * Regenerates the expected output of all golden sessions. Run by
 * {@code scripts/regenerate-golden}, never by a test.
 */
public final class RegenerateGolden {

	private RegenerateGolden() {
	}

	/**
	 * Regenerates the golden files.
	 * @param args not used
	 */
	public static void main(String[] args) {
		for (String file : new File("src/test/resources/golden/stream").list()) {
			GoldenSession.regenerate("stream/" + file, new StreamSessionInputHandler());
		}
	}

}
