package org.burdocktray.request.auth;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Organisation;

/**
 * Finds the organisation of an API key. Stores only digests of keys; the look-up is by
 * digest and the comparison takes constant time. Thread safety: immutable after
 * construction.
 */
public final class Authenticator {

	private static final String SCHEME = "Bearer ";

	private final Map<String, Organisation> organisationsByDigest = new HashMap<>();

	/**
	 * Creates an authenticator for one bundle version.
	 * @param bundle the bundle with the organisations and the digests of their keys
	 */
	public Authenticator(Bundle bundle) {
		for (Organisation organisation : bundle.organisations()) {
			organisation.keyDigests().forEach((digest) -> this.organisationsByDigest.put(digest, organisation));
		}
	}

	/**
	 * Finds the organisation of a request.
	 * @param authorizationHeader the value of the {@code Authorization} header, if
	 * present
	 * @return the organisation, empty if the key is missing or unknown
	 */
	public Optional<Organisation> authenticate(Optional<String> authorizationHeader) {
		return authorizationHeader.filter((value) -> value.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
			.map((value) -> digest(value.substring(SCHEME.length()).trim()))
			.flatMap(this::find);
	}

	private Optional<Organisation> find(byte[] digest) {
		String hex = HexFormat.of().formatHex(digest);
		return Optional.ofNullable(this.organisationsByDigest.get(hex))
			.filter((organisation) -> organisation.keyDigests()
				.stream()
				.anyMatch((candidate) -> MessageDigest.isEqual(HexFormat.of().parseHex(candidate), digest)));
	}

	private static byte[] digest(String key) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
