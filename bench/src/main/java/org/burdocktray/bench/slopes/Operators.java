package org.burdocktray.bench.slopes;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.List;

import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.process.bundle.BundleOperations;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.BundleWriter;
import org.burdocktray.version.bundle.Operator;
import org.burdocktray.version.bundle.OperatorKeys;
import org.burdocktray.version.signing.BundleProposal;
import org.burdocktray.version.signing.BundleSigner;
import org.burdocktray.version.signing.BundleVerifier;

/**
 * Holds two operators with newly generated keys, who propose, approve and roll bundles.
 * Thread safety: immutable.
 */
final class Operators {

	private final KeyPair proposer = generateKeyPair();

	private final KeyPair approver = generateKeyPair();

	List<Operator> trustedOperators() {
		return List.of(operator("proposer", this.proposer), operator("approver", this.approver));
	}

	void roll(PlatformStore store, Bundle bundle) {
		BundleOperations operations = new BundleOperations(store, Schedulers.computation());
		BundleVerifier verifier = new BundleVerifier(trustedOperators());
		BundleProposal proposal = new BundleSigner("proposer", this.proposer.getPrivate()).propose(bundle.version(),
				BundleWriter.write(bundle));
		requireSuccess(operations.propose(proposal).blockingGet());
		BundleSigner signer = new BundleSigner("approver", this.approver.getPrivate());
		requireSuccess(
				operations.approve(bundle.version(), proposal.contentDigest(), verifier::verify, signer).blockingGet());
		requireSuccess(operations.roll(bundle.version(), proposal.contentDigest(), verifier::verify).blockingGet());
	}

	private static void requireSuccess(Either<?, ?> result) {
		if (result.isLeft()) {
			throw new IllegalStateException("The bundle was not rolled: " + result.getLeft());
		}
	}

	private static Operator operator(String name, KeyPair keys) {
		return new Operator(name, Base64.getEncoder().encodeToString(keys.getPublic().getEncoded()));
	}

	private static KeyPair generateKeyPair() {
		try {
			return KeyPairGenerator.getInstance(OperatorKeys.ALGORITHM).generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
