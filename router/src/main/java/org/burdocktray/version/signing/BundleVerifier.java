package org.burdocktray.version.signing;

import java.security.PublicKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.BundleReader;
import org.burdocktray.version.bundle.Operator;
import org.burdocktray.version.bundle.OperatorKeys;
import org.burdocktray.version.config.ConfigFault;

/**
 * Verifies signed bundles. Invariant: an accepted bundle was proposed and approved by two
 * different trusted operators, and its content is consistent. Thread safety: immutable.
 */
public final class BundleVerifier {

	private final Map<String, PublicKey> trustedKeys = new HashMap<>();

	/**
	 * Creates a verifier.
	 * @param trustedOperators the operators whose signatures are accepted; those with an
	 * invalid key are ignored
	 */
	public BundleVerifier(List<Operator> trustedOperators) {
		for (Operator operator : trustedOperators) {
			OperatorKeys.parsePublicKey(operator.publicKey())
				.ifPresent((key) -> this.trustedKeys.put(operator.name(), key));
		}
	}

	/**
	 * Verifies a signed bundle.
	 * @param signed the signed bundle from an untrusted source
	 * @return the verified bundle, or the reason for which it is rejected
	 */
	public Either<String, VerifiedBundle> verify(SignedBundle signed) {
		if (signed.proposer().equals(signed.approver())) {
			return Either.left("proposer and approver are both " + signed.proposer());
		}
		BundleProposal proposal = new BundleProposal(signed.version(), signed.content(), signed.contentDigest(),
				signed.proposer(), signed.proposalSignature());
		return verify(proposal).flatMap((bundle) -> verifyApproval(signed, bundle));
	}

	/**
	 * Verifies a proposal.
	 * @param proposal the proposal
	 * @return its content, or the reason for which it is rejected
	 */
	public Either<String, Bundle> verify(BundleProposal proposal) {
		if (!BundleSigner.digest(proposal.content()).equals(proposal.contentDigest())) {
			return Either.left("the digest does not match the content");
		}
		if (!isSigned(SignedStatement.Kind.PROPOSAL, proposal.version(), proposal.contentDigest(), proposal.proposer(),
				proposal.signature())) {
			return Either.left("no valid proposal signature of trusted operator " + proposal.proposer());
		}
		Either<List<ConfigFault>, Bundle> bundle = BundleReader.read("bundle", proposal.content());
		if (bundle.isLeft()) {
			return Either.left("the content is invalid: " + bundle.getLeft().get(0));
		}
		if (bundle.get().version() != proposal.version()) {
			return Either.left("the content has version " + bundle.get().version() + ", not " + proposal.version());
		}
		return Either.right(bundle.get());
	}

	private Either<String, VerifiedBundle> verifyApproval(SignedBundle signed, Bundle bundle) {
		if (!isSigned(SignedStatement.Kind.APPROVAL, signed.version(), signed.contentDigest(), signed.approver(),
				signed.approvalSignature())) {
			return Either.left("no valid approval signature of trusted operator " + signed.approver());
		}
		return Either.right(new VerifiedBundle(signed, bundle));
	}

	private boolean isSigned(SignedStatement.Kind kind, long version, String digest, String operator,
			String signature) {
		PublicKey key = this.trustedKeys.get(operator);
		return key != null && new SignedStatement(kind, version, digest, operator).isSignedBy(key, signature);
	}

}
