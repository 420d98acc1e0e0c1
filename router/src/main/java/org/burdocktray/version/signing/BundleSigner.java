package org.burdocktray.version.signing;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.PrivateKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Optional;

import org.burdocktray.version.bundle.OperatorKeys;

/**
 * Signs proposals and approvals with the private key of one operator. Thread safety:
 * immutable.
 */
public final class BundleSigner {

	private final String operator;

	private final PrivateKey key;

	/**
	 * Creates a signer.
	 * @param operator the name of the operator
	 * @param key the operator's private key
	 */
	public BundleSigner(String operator, PrivateKey key) {
		this.operator = operator;
		this.key = key;
	}

	/**
	 * Decodes a private key.
	 * @param base64 the PKCS #8 encoding in base 64
	 * @return the key, empty if the text is not an Ed25519 private key
	 */
	public static Optional<PrivateKey> parsePrivateKey(String base64) {
		try {
			byte[] encoded = Base64.getDecoder().decode(base64);
			return Optional
				.of(KeyFactory.getInstance(OperatorKeys.ALGORITHM).generatePrivate(new PKCS8EncodedKeySpec(encoded)));
		}
		catch (IllegalArgumentException | GeneralSecurityException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Computes the digest that identifies the text of a bundle.
	 * @param content the text of a bundle
	 * @return the SHA-256 digest in lower-case hex
	 */
	public static String digest(String content) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(content.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	/**
	 * Creates a signed proposal.
	 * @param version the version of the bundle
	 * @param content the text of the bundle
	 * @return the signed proposal
	 */
	public BundleProposal propose(long version, String content) {
		String digest = digest(content);
		return new BundleProposal(version, content, digest, this.operator,
				sign(SignedStatement.Kind.PROPOSAL, version, digest));
	}

	/**
	 * Creates a signed approval.
	 * @param proposal the proposal to approve
	 * @return the signed approval
	 */
	public BundleApproval approve(BundleProposal proposal) {
		return new BundleApproval(proposal.version(), proposal.contentDigest(), this.operator,
				sign(SignedStatement.Kind.APPROVAL, proposal.version(), proposal.contentDigest()));
	}

	private String sign(SignedStatement.Kind kind, long version, String digest) {
		return new SignedStatement(kind, version, digest, this.operator).sign(this.key);
	}

}
