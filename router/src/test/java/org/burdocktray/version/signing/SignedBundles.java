package org.burdocktray.version.signing;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.List;
import java.util.Map;

import org.burdocktray.version.bundle.Operator;
import org.burdocktray.version.bundle.OperatorKeys;

/**
 * Test operators with generated keys, and small bundles signed by them. Thread safety:
 * immutable.
 */
public final class SignedBundles {

	private static final Map<String, KeyPair> KEYS = Map.of("els", generateKeyPair(), "jan", generateKeyPair(), "eve",
			generateKeyPair());

	private SignedBundles() {
	}

	/**
	 * Returns the operators els and jan.
	 * @return the trusted operators; eve is not among them
	 */
	public static List<Operator> trustedOperators() {
		return List.of(operator("els"), operator("jan"));
	}

	/**
	 * Returns a signer.
	 * @param name els, jan or eve
	 * @return the signer with the private key of the operator
	 */
	public static BundleSigner signer(String name) {
		return new BundleSigner(name, KEYS.get(name).getPrivate());
	}

	/**
	 * Returns the text of a small valid bundle.
	 * @param version the version of the bundle
	 * @param modelVersion the version of the model, so that texts of the same bundle
	 * version can differ
	 * @return the text
	 */
	public static String content(long version, int modelVersion) {
		return """
				{"version": %d, "models": [{"name": "m", "modelVersion": "%d", "layers": 1,
				"activationBytesPerToken": 1, "maxOutputTokens": 1}], "engines": [{"name": "e", "dataCentre": "d",
				"address": "127.0.0.1:1", "model": "m", "fromLayer": 0, "toLayer": 1, "acceleratorKind": "a",
				"tokensPerSecond": 1, "maxConcurrentStreams": 1}], "organisations": []}""".formatted(version,
				modelVersion);
	}

	/**
	 * Returns a bundle proposed by els and approved by jan.
	 * @param version the version
	 * @param content the text
	 * @return the signed bundle
	 */
	public static SignedBundle signed(long version, String content) {
		BundleProposal proposal = signer("els").propose(version, content);
		return SignedBundle.of(proposal, signer("jan").approve(proposal));
	}

	private static Operator operator(String name) {
		return new Operator(name, Base64.getEncoder().encodeToString(KEYS.get(name).getPublic().getEncoded()));
	}

	private static KeyPair generateKeyPair() {
		try {
			return KeyPairGenerator.getInstance(OperatorKeys.ALGORITHM).generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
