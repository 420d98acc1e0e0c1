package org.burdocktray.version.signing;

import java.util.Objects;

/**
 * A bundle with the signatures of two operators, as rolled and as sent between VMs. Its
 * fields are untrusted until {@link BundleVerifier} has accepted it. Stored as JSON under
 * the names of its components. Thread safety: immutable.
 *
 * @param version the version of the bundle
 * @param content the text of the bundle
 * @param contentDigest the SHA-256 digest of the text, lower-case hex
 * @param proposer the name of the proposing operator
 * @param proposalSignature the proposer's signature in base 64
 * @param approver the name of the approving operator
 * @param approvalSignature the approver's signature in base 64
 */
public record SignedBundle(long version, String content, String contentDigest, String proposer,
		String proposalSignature, String approver, String approvalSignature) {

	public SignedBundle {
		Objects.requireNonNull(content, "content");
		Objects.requireNonNull(contentDigest, "contentDigest");
		Objects.requireNonNull(proposer, "proposer");
		Objects.requireNonNull(proposalSignature, "proposalSignature");
		Objects.requireNonNull(approver, "approver");
		Objects.requireNonNull(approvalSignature, "approvalSignature");
	}

	/**
	 * Combines a proposal and its approval.
	 * @param proposal the proposal
	 * @param approval the approval
	 * @return the signed bundle, not yet verified
	 */
	public static SignedBundle of(BundleProposal proposal, BundleApproval approval) {
		return new SignedBundle(proposal.version(), proposal.content(), proposal.contentDigest(), proposal.proposer(),
				proposal.signature(), approval.approver(), approval.signature());
	}

}
