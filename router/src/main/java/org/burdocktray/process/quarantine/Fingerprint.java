package org.burdocktray.process.quarantine;

/**
 * Identifies a request in the quarantine. Requests with equal fingerprints are treated as
 * the same request. Thread safety: immutable.
 *
 * @param organisation the name of the organisation
 * @param bodyDigest SHA-256 of the body, lower-case hex
 */
public record Fingerprint(String organisation, String bodyDigest) {

}
