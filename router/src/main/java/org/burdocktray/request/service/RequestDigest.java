package org.burdocktray.request.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.burdocktray.connection.service.ServiceCall;

/**
 * Digests that show whether two calls are identical. Thread safety: stateless.
 */
public final class RequestDigest {

	private RequestDigest() {
	}

	/**
	 * Computes the digest of service, method, path, query and body.
	 * @param serviceName the name of the service
	 * @param call the call
	 * @return the SHA-256 digest in lower-case hex
	 */
	public static String of(String serviceName, ServiceCall call) {
		MessageDigest digest = sha256();
		String requestLine = serviceName + '\n' + call.method() + '\n' + call.pathAndQuery() + '\n';
		digest.update(requestLine.getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(digest.digest(call.body()));
	}

	/**
	 * Computes the digest of a body.
	 * @param body the body
	 * @return the SHA-256 digest in lower-case hex
	 */
	public static String of(byte[] body) {
		return HexFormat.of().formatHex(sha256().digest(body));
	}

	/**
	 * Computes the digest of a forwarded request.
	 * @param method the HTTP method
	 * @param pathAndQuery the path and query
	 * @param body the body
	 * @return the SHA-256 digest in lower-case hex
	 */
	public static String of(String method, String pathAndQuery, byte[] body) {
		MessageDigest digest = sha256();
		digest.update((method + '\n' + pathAndQuery + '\n').getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(digest.digest(body));
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
