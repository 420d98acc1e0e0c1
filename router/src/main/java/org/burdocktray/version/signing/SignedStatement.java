package org.burdocktray.version.signing;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.util.Base64;

import org.burdocktray.version.bundle.OperatorKeys;

/**
 * The statement that an operator signs. Invariant: different statements have different
 * encodings, because texts are length-prefixed; the domain prefix separates them from
 * other uses of the keys. Thread safety: immutable.
 *
 * @param kind the action of the operator; its enum name is part of the signed bytes
 * @param version the version of the bundle
 * @param contentDigest the SHA-256 digest of the bundle's text, lower-case hex
 * @param operator the name of the operator
 */
record SignedStatement(Kind kind, long version, String contentDigest, String operator) {

	private static final String DOMAIN = "burdocktray bundle 1";

	/**
	 * Signs the statement.
	 * @param key the operator's private key
	 * @return the signature in base 64
	 */
	String sign(PrivateKey key) {
		try {
			Signature signature = Signature.getInstance(OperatorKeys.ALGORITHM);
			signature.initSign(key);
			signature.update(encode());
			return Base64.getEncoder().encodeToString(signature.sign());
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalArgumentException(
					"private key of operator \"" + this.operator + "\" is not an Ed25519 key", ex);
		}
	}

	/**
	 * Verifies a signature of the statement.
	 * @param key the operator's public key
	 * @param base64 the signature in base 64
	 * @return true if the signature is valid
	 */
	boolean isSignedBy(PublicKey key, String base64) {
		try {
			Signature signature = Signature.getInstance(OperatorKeys.ALGORITHM);
			signature.initVerify(key);
			signature.update(encode());
			return signature.verify(Base64.getDecoder().decode(base64));
		}
		catch (GeneralSecurityException | IllegalArgumentException ex) {
			return false;
		}
	}

	private byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeUTF(DOMAIN);
			out.writeUTF(this.kind.name());
			out.writeLong(this.version);
			out.writeLong(this.version - 1);
			out.writeUTF(this.contentDigest);
			out.writeUTF(this.operator);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * The action of an operator. Thread safety: immutable.
	 */
	enum Kind {

		/** The operator proposes a bundle. */
		PROPOSAL,

		/** The operator approves a proposal of another operator. */
		APPROVAL

	}

}
