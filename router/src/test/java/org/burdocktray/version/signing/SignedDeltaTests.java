package org.burdocktray.version.signing;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests computing and applying a delta between bundles.
 */
class SignedDeltaTests {

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '^',
			value = { "[{1},{2},{3}]|[{1},{9},{3}]", "[{1},{2},{3}]|[{3},{1}]", "[{1},{1},{2}]|[{1},{1},{1},{2}]",
					"[]|[{1}]", "[{1}]|[]", "[{1},{2}]|[{1},{2}]", "x|y" })
	void reconstructsTheTargetFromTheBase(String baseText, String targetText) {
		SignedBundle base = SignedBundles.signed(1, baseText);
		SignedBundle target = SignedBundles.signed(2, targetText);
		String stored = BundleCodec.write(SignedDelta.between(base, target));
		SignedDelta delta = BundleCodec.read(stored, SignedDelta.class).orElseThrow();
		assertThat(delta.applyTo(base)).contains(target);
	}

	@Test
	void rejectsADifferentBase() {
		SignedBundle base = SignedBundles.signed(1, "[{1},{2}]");
		SignedDelta delta = SignedDelta.between(base, SignedBundles.signed(2, "[{1},{3}]"));
		assertThat(delta.applyTo(SignedBundles.signed(1, "[{1},{4}]"))).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "-1,1", "0,3", "2,1", "0,-1", "2147483647,1", "1,2147483647" })
	void rejectsChunkIndexesOutOfRange(int from, int count) {
		SignedBundle base = SignedBundles.signed(1, "[{1},{2}]");
		SignedDelta delta = new SignedDelta(base.contentDigest(), List.of(new SignedDelta.Part(from, count, "")), 2, "",
				"", "", "", "");
		assertThat(delta.applyTo(base)).isEmpty();
	}

}
