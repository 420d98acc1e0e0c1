package org.burdocktray.bench.bundle;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.burdocktray.version.bundle.Operator;
import org.burdocktray.version.bundle.OperatorKeys;
import org.burdocktray.version.signing.BundleProposal;
import org.burdocktray.version.signing.BundleSigner;
import org.burdocktray.version.signing.BundleVerifier;
import org.burdocktray.version.signing.SignedBundle;
import org.burdocktray.version.signing.VerifiedBundle;

/**
 * Two operators with their key pairs and the bundles they sign. Caches the results of
 * verification, since all VMs of a simulation verify the same bundles. Thread safety: one
 * thread.
 */
final class SigningFixture {

	static final List<String> OPERATORS = List.of("els", "jan");

	private final Map<String, KeyPair> keyPairs = new HashMap<>();

	private final Map<String, BundleProposal> proposals = new HashMap<>();

	private final Map<SignedBundle, Either<String, VerifiedBundle>> verificationResults = new HashMap<>();

	private final BundleVerifier verifier;

	SigningFixture() {
		OPERATORS.forEach((name) -> this.keyPairs.put(name, generateKeyPair()));
		this.verifier = new BundleVerifier(OPERATORS.stream().map(this::toOperator).toList());
	}

	BundleSigner createSigner(String operator) {
		return new BundleSigner(operator, this.keyPairs.get(operator).getPrivate());
	}

	BundleProposal createProposal(String operator, long version, int attempt) {
		String contentLabel = operator + "-" + attempt;
		return this.proposals.computeIfAbsent(contentLabel + "-" + version,
				(key) -> createSigner(operator).propose(version, SampleBundles.small(version, contentLabel)));
	}

	Either<String, VerifiedBundle> verify(SignedBundle signed) {
		return this.verificationResults.computeIfAbsent(signed, this.verifier::verify);
	}

	static String otherOperator(String operator) {
		return Stream.of("els", "jan").filter((name) -> !name.equals(operator)).findFirst().orElseThrow();
	}

	private Operator toOperator(String name) {
		return new Operator(name, Base64.getEncoder().encodeToString(this.keyPairs.get(name).getPublic().getEncoded()));
	}

	private static KeyPair generateKeyPair() {
		try {
			return KeyPairGenerator.getInstance(OperatorKeys.ALGORITHM).generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Ed25519 is not available", ex);
		}
	}

}
