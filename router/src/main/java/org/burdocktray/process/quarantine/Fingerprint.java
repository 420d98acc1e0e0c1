package org.burdocktray.process.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a request, or a part of prompts, in the quarantine. Requests with equal
 * fingerprints are treated as the same request. Thread safety: immutable.
 *
 * @param organisation the name of the organisation, empty if it is unknown and for parts,
 * which are the same for all organisations
 * @param bodyDigest the SHA-256 digest of the body, or of all that identifies the request
 * or the part, lower-case hex
 * @param isPart whether it identifies a part of prompts
 */
public record Fingerprint(String organisation, String bodyDigest, boolean isPart) {

	private static final int SHORT_DIGEST_LENGTH = 16;

	/**
	 * Creates the fingerprint of a request.
	 * @param organisation the name of the organisation, empty if it is unknown
	 * @param bodyDigest the SHA-256 digest of the body, or of all that identifies the
	 * request, lower-case hex
	 */
	public Fingerprint(String organisation, String bodyDigest) {
		this(organisation, bodyDigest, false);
	}

	/**
	 * Returns the fingerprint of a part of prompts.
	 * @param partId the id of the part
	 * @return the fingerprint
	 */
	public static Fingerprint ofPart(String partId) {
		return new Fingerprint("", digest(partId), true);
	}

	private static String digest(String partId) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(partId.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	/**
	 * Returns the beginning of the digest, for logs.
	 * @return the first 16 digits
	 */
	public String shortDigest() {
		return this.bodyDigest.substring(0, Math.min(SHORT_DIGEST_LENGTH, this.bodyDigest.length()));
	}

}
