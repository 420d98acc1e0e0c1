package org.burdocktray.version.signing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A signed bundle given as its difference to another one. The text is cut behind each
 * list entry; pieces of the base are named, the others are included. The digest and the
 * signatures are those of the whole bundle, so a wrong difference can't be accepted.
 * Thread safety: immutable.
 *
 * @param baseDigest the digest of the text to which the difference applies
 * @param parts the parts of the new text in order
 * @param version the version of the bundle
 * @param contentDigest SHA-256 of the new text in lower-case hex
 * @param proposer the name of the operator who proposed it
 * @param proposalSignature the proposer's signature in base 64
 * @param approver the name of the operator who approved it
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
	 * Works out the difference between two bundles.
	 * @param base the bundle that the receiver has
	 * @param target the bundle that it shall have
	 * @return the difference
	 */
	public static SignedDelta between(SignedBundle base, SignedBundle target) {
		Map<String, Integer> positions = new HashMap<>();
		List<String> basePieces = splitChunks(base.content());
		for (int index = 0; index < basePieces.size(); index++) {
			positions.putIfAbsent(basePieces.get(index), index);
		}
		List<Part> parts = new ArrayList<>();
		for (String piece : splitChunks(target.content())) {
			appendChunk(parts, piece, Optional.ofNullable(positions.get(piece)), basePieces);
		}
		return new SignedDelta(base.contentDigest(), parts, target.version(), target.contentDigest(), target.proposer(),
				target.proposalSignature(), target.approver(), target.approvalSignature());
	}

	/**
	 * Applies the difference.
	 * @param base the bundle that the receiver has
	 * @return the whole bundle, not yet verified; empty when the difference is to another
	 * base or malformed
	 */
	public Optional<SignedBundle> applyTo(SignedBundle base) {
		if (!this.baseDigest.equals(base.contentDigest())) {
			return Optional.empty();
		}
		List<String> basePieces = splitChunks(base.content());
		StringBuilder text = new StringBuilder();
		for (Part part : this.parts) {
			if (!part.isInRange(basePieces.size())) {
				return Optional.empty();
			}
			text.append(part.text());
			basePieces.subList(part.from(), part.from() + part.count()).forEach(text::append);
			if (text.length() > BundleCodec.MAX_CONTENT_BYTES) {
				return Optional.empty();
			}
		}
		return Optional.of(new SignedBundle(this.version, text.toString(), this.contentDigest, this.proposer,
				this.proposalSignature, this.approver, this.approvalSignature));
	}

	private static void appendChunk(List<Part> parts, String piece, Optional<Integer> position,
			List<String> basePieces) {
		int last = parts.size() - 1;
		if (position.isEmpty()) {
			parts.add(new Part(0, 0, piece));
			return;
		}
		if (last >= 0 && parts.get(last).count() > 0) {
			Part run = parts.get(last);
			int next = run.from() + run.count();
			if (next < basePieces.size() && basePieces.get(next).equals(piece)) {
				parts.set(last, new Part(run.from(), run.count() + 1, run.text()));
				return;
			}
		}
		parts.add(new Part(position.get(), 1, ""));
	}

	private static List<String> splitChunks(String text) {
		List<String> pieces = new ArrayList<>();
		int start = 0;
		for (int end = text.indexOf(CHUNK_END); end >= 0; end = text.indexOf(CHUNK_END, start)) {
			pieces.add(text.substring(start, end + CHUNK_END.length()));
			start = end + CHUNK_END.length();
		}
		pieces.add(text.substring(start));
		return pieces;
	}

	/**
	 * A part of the new text: a text of its own, then pieces of the base. Thread safety:
	 * immutable.
	 *
	 * @param from the first piece of the base
	 * @param count the number of pieces of the base
	 * @param text the text of its own
	 */
	public record Part(int from, int count, String text) {

		public Part {
			Objects.requireNonNull(text, "text");
		}

		private boolean isInRange(int pieceCount) {
			return this.from >= 0 && this.count >= 0 && this.from <= pieceCount - this.count;
		}

	}

}
