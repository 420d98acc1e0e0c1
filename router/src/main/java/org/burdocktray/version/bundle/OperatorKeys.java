package org.burdocktray.version.bundle;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PublicKey;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.Optional;

/**
 * Decodes the public keys of operators. Thread safety: stateless.
 */
public final class OperatorKeys {

	/** The signature algorithm of the operators. */
	public static final String ALGORITHM = "Ed25519";

	private OperatorKeys() {
	}

	/**
	 * Decodes a public key.
	 * @param base64 the X.509 encoding in base 64
	 * @return the key, empty if the text is not an Ed25519 public key
	 */
	public static Optional<PublicKey> parsePublicKey(String base64) {
		try {
			byte[] encoded = Base64.getDecoder().decode(base64);
			return Optional.of(KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(encoded)));
		}
		catch (IllegalArgumentException | GeneralSecurityException ex) {
			return Optional.empty();
		}
	}

}
