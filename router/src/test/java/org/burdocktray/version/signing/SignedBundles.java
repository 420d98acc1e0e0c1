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
 * Operators with fresh keys, and small bundles signed by them. Thread safety: immutable.
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
	 * @return the signer with this operator's key
	 */
	public static BundleSigner signer(String name) {
		return new BundleSigner(name, KEYS.get(name).getPrivate());
	}

	/**
	 * Writes a small valid bundle.
	 * @param version the version
	 * @param mark makes contents of one version differ
	 * @return the text
	 */
	public static String content(long version, int mark) {
		return """
				{"version": %d, "models": [{"name": "m", "modelVersion": "%d", "layers": 1,
				"activationBytesPerToken": 1, "maxOutputTokens": 1}], "engines": [{"name": "e", "dataCentre": "d",
				"address": "127.0.0.1:1", "model": "m", "fromLayer": 0, "toLayer": 1, "acceleratorKind": "a",
				"tokensPerSecond": 1, "maxConcurrentStreams": 1}], "organisations": []}""".formatted(version, mark);
	}

	/**
	 * Signs a content by els and jan.
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
