package org.burdocktray.version.bundle;

/**
 * An operator who may propose and approve bundles. Thread safety: immutable.
 *
 * @param name the unique name
 * @param publicKey the Ed25519 public key, X.509 encoded in base 64
 */
public record Operator(String name, String publicKey) {

}
