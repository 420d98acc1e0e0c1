package org.burdocktray.process.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the quarantine may hold responsible for a crash during a run of a request: the
 * request as a whole, or a part of its prompt. Thread safety: immutable.
 *
 * @param request the request as a whole
 * @param parts the parts of its prompt that other requests may share
 */
public record RequestIdentity(Fingerprint request, List<Fingerprint> parts) {

	/** Bounds what a caller who invents parts can make a VM remember. */
	private static final int MAX_PARTS = 64;

	public RequestIdentity {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the identity of a request without a prompt.
	 * @param request the request as a whole
	 * @return the identity
	 */
	public static RequestIdentity withoutParts(Fingerprint request) {
		return new RequestIdentity(request, List.of());
	}

	/**
	 * Returns the identity of a request with a prompt. The last part belongs to the
	 * request alone, which the request as a whole stands for.
	 * @param request the request as a whole
	 * @param partIds the ids of all parts in order
	 * @return the identity
	 */
	public static RequestIdentity of(Fingerprint request, List<String> partIds) {
		return new RequestIdentity(request,
				partIds.stream()
					.limit(Math.max(0, partIds.size() - 1))
					.distinct()
					.limit(MAX_PARTS)
					.map(Fingerprint::ofPart)
					.toList());
	}

	Stream<Fingerprint> suspects() {
		return Stream.concat(Stream.of(this.request), this.parts.stream());
	}

	boolean containsAnyOf(Collection<Fingerprint> fingerprints) {
		return this.parts.stream().anyMatch(fingerprints::contains);
	}

}
