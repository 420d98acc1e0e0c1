package org.burdocktray.process.serve;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.List;

import io.reactivex.rxjava3.schedulers.Schedulers;
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
 * Two trusted operators with newly generated keys. Thread safety: immutable.
 */
final class TestOperators {

	private final KeyPair els = generateKeyPair();

	private final KeyPair jan = generateKeyPair();

	List<Operator> trusted() {
		return List.of(operator("els", this.els), operator("jan", this.jan));
	}

	void roll(PlatformStore store, Bundle bundle) {
		BundleOperations operations = new BundleOperations(store, Schedulers.computation());
		BundleVerifier verifier = new BundleVerifier(trusted());
		BundleProposal proposal = new BundleSigner("els", this.els.getPrivate()).propose(bundle.version(),
				BundleWriter.write(bundle));
		operations.propose(proposal).blockingGet().get();
		operations
			.approve(bundle.version(), proposal.contentDigest(), verifier::verify,
					new BundleSigner("jan", this.jan.getPrivate()))
			.blockingGet()
			.get();
		operations.roll(bundle.version(), proposal.contentDigest(), verifier::verify).blockingGet().get();
	}

	private static Operator operator(String name, KeyPair keyPair) {
		return new Operator(name, Base64.getEncoder().encodeToString(keyPair.getPublic().getEncoded()));
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
