package org.burdocktray.version.signing;

import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which signed bundles the verifier accepts.
 */
class BundleVerifierTests {

	private static final String CONTENT = SignedBundles.content(7, 1);

	private static final SignedBundle VALID = SignedBundles.signed(7, CONTENT);

	private final BundleVerifier verifier = new BundleVerifier(SignedBundles.trustedOperators());

	@Test
	void acceptsAStoredBundleSignedByTwoTrustedOperators() {
		SignedBundle stored = BundleCodec.read(BundleCodec.write(VALID), SignedBundle.class).orElseThrow();
		assertThat(stored).isEqualTo(VALID);
		assertThat(this.verifier.verify(stored).get().bundle().version()).isEqualTo(7);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("forgeries")
	void rejectsForgedBundles(String reason, SignedBundle forged) {
		assertThat(this.verifier.verify(forged).getLeft()).contains(reason);
	}

	static Stream<Arguments> forgeries() {
		BundleProposal byEls = SignedBundles.signer("els").propose(7, CONTENT);
		BundleProposal byEve = SignedBundles.signer("eve").propose(7, CONTENT);
		BundleProposal other = SignedBundles.signer("els").propose(7, SignedBundles.content(7, 2));
		BundleProposal otherVersion = SignedBundles.signer("els").propose(8, CONTENT);
		BundleProposal broken = SignedBundles.signer("els").propose(7, "{}");
		BundleSigner jan = SignedBundles.signer("jan");
		return Map
			.of("both els", SignedBundle.of(byEls, SignedBundles.signer("els").approve(byEls)),
					"proposal signature of trusted operator eve", SignedBundle.of(byEve, jan.approve(byEve)),
					"approval signature of trusted operator eve",
					SignedBundle.of(byEls, SignedBundles.signer("eve").approve(byEls)),
					"approval signature of trusted operator jan", SignedBundle.of(byEls, jan.approve(other)), "digest",
					SignedBundle
						.of(new BundleProposal(7, other.content(), byEls.contentDigest(), "els", byEls.signature()),
								jan.approve(byEls)),
					"has version 7", SignedBundle.of(otherVersion, jan.approve(otherVersion)), "content is invalid",
					SignedBundle.of(broken, jan.approve(broken)), "proposal signature of trusted operator els",
					SignedBundle.of(new BundleProposal(7, CONTENT, byEls.contentDigest(), "els",
							jan.approve(byEls).signature()), jan.approve(byEls)))
			.entrySet()
			.stream()
			.map((entry) -> Arguments.of(entry.getKey(), entry.getValue()));
	}

	@Test
	void returnsEmptyForMalformedText() {
		assertThat(BundleCodec.read("{\"version\":1,\"content\":\"?\"}", SignedBundle.class)).isEmpty();
		assertThat(BundleCodec.read("{}", SignedBundle.class)).isEmpty();
		assertThat(BundleCodec.read("", SignedBundle.class)).isEmpty();
	}

}
