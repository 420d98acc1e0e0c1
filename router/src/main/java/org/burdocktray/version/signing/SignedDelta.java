package org.burdocktray.version.signing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A signed bundle encoded as a delta to a base bundle. The texts are split into chunks
 * after each list entry; chunks of the base are referenced by index, and other chunks are
 * included. The digest and the signatures are those of the complete bundle, so an
 * incorrect delta fails verification. Stored as JSON under the names of its components.
 * Thread safety: immutable.
 *
 * @param baseDigest the digest of the base text
 * @param parts the parts of the target text in order
 * @param version the version of the bundle
 * @param contentDigest the SHA-256 digest of the target text, lower-case hex
 * @param proposer the name of the proposing operator
 * @param proposalSignature the proposer's signature in base 64
 * @param approver the name of the approving operator
 * @param approvalSignature the approver's signature in base 64
 */
public record SignedDelta(String baseDigest, List<Part> parts, long version, String contentDigest, String proposer,
		String proposalSignature, String approver, String approvalSignature) {

	private static final String CHUNK_END = "},";

	public SignedDelta {
		Objects.requireNonNull(baseDigest, "baseDigest");
		parts = List.copyOf(parts);
	}

	/**
	 * Computes the delta between two bundles.
	 * @param base the bundle that the receiver has
	 * @param target the bundle to be sent
	 * @return the delta
	 */
	public static SignedDelta between(SignedBundle base, SignedBundle target) {
		Map<String, Integer> positions = new HashMap<>();
		List<String> baseChunks = splitChunks(base.content());
		for (int index = 0; index < baseChunks.size(); index++) {
			positions.putIfAbsent(baseChunks.get(index), index);
		}
		List<Part> parts = new ArrayList<>();
		for (String chunk : splitChunks(target.content())) {
			appendChunk(parts, chunk, Optional.ofNullable(positions.get(chunk)), baseChunks);
		}
		return new SignedDelta(base.contentDigest(), parts, target.version(), target.contentDigest(), target.proposer(),
				target.proposalSignature(), target.approver(), target.approvalSignature());
	}

	/**
	 * Applies the delta to its base.
	 * @param base the bundle that the receiver has
	 * @return the complete bundle, not yet verified; empty if the delta has another base
	 * or is malformed
	 */
	public Optional<SignedBundle> applyTo(SignedBundle base) {
		if (!this.baseDigest.equals(base.contentDigest())) {
			return Optional.empty();
		}
		List<String> baseChunks = splitChunks(base.content());
		StringBuilder text = new StringBuilder();
		for (Part part : this.parts) {
			if (!part.isInRange(baseChunks.size())) {
				return Optional.empty();
			}
			text.append(part.text());
			baseChunks.subList(part.from(), part.from() + part.count()).forEach(text::append);
			if (text.length() > BundleCodec.MAX_CONTENT_BYTES) {
				return Optional.empty();
			}
		}
		return Optional.of(new SignedBundle(this.version, text.toString(), this.contentDigest, this.proposer,
				this.proposalSignature, this.approver, this.approvalSignature));
	}

	private static void appendChunk(List<Part> parts, String chunk, Optional<Integer> position,
			List<String> baseChunks) {
		int last = parts.size() - 1;
		if (position.isEmpty()) {
			parts.add(new Part(0, 0, chunk));
			return;
		}
		if (last >= 0 && parts.get(last).count() > 0) {
			Part run = parts.get(last);
			int next = run.from() + run.count();
			if (next < baseChunks.size() && baseChunks.get(next).equals(chunk)) {
				parts.set(last, new Part(run.from(), run.count() + 1, run.text()));
				return;
			}
		}
		parts.add(new Part(position.get(), 1, ""));
	}

	private static List<String> splitChunks(String text) {
		List<String> chunks = new ArrayList<>();
		int start = 0;
		for (int end = text.indexOf(CHUNK_END); end >= 0; end = text.indexOf(CHUNK_END, start)) {
			chunks.add(text.substring(start, end + CHUNK_END.length()));
			start = end + CHUNK_END.length();
		}
		chunks.add(text.substring(start));
		return chunks;
	}

	/**
	 * A part of the target text: included text, followed by consecutive chunks of the
	 * base. Thread safety: immutable.
	 *
	 * @param from the index of the first chunk of the base
	 * @param count the number of chunks of the base
	 * @param text the included text, possibly empty
	 */
	public record Part(int from, int count, String text) {

		public Part {
			Objects.requireNonNull(text, "text");
		}

		private boolean isInRange(int chunkCount) {
			return this.from >= 0 && this.count >= 0 && this.from <= chunkCount - this.count;
		}

	}

}
