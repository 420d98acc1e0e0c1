package org.burdocktray.process.cli;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.process.bundle.BundleOperations;
import org.burdocktray.process.bundle.OperationFailure;
import org.burdocktray.process.settings.Settings;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.BundleReader;
import org.burdocktray.version.signing.BundleVerifier;

/**
 * Determines the operators that a command trusts: those of the settings if given, or else
 * those listed in the bundle itself. VMs trust only the operators in their settings.
 * Thread safety: stateless.
 */
final class TrustedOperators {

	private TrustedOperators() {
	}

	static BundleVerifier createVerifier(PlatformAccess access, Bundle content) {
		return new BundleVerifier(access.settings().map(Settings::trustedOperators).orElseGet(content::operators));
	}

	static Single<Either<OperationFailure, BundleVerifier>> createVerifier(PlatformAccess access,
			BundleOperations operations, long version, String digest) {
		if (access.settings().isPresent()) {
			return Single.just(Either.right(new BundleVerifier(access.settings().get().trustedOperators())));
		}
		return operations.readProposal(version, digest)
			.map((result) -> result.map((proposal) -> BundleReader.read("proposal", proposal.content())
				.fold((faults) -> new BundleVerifier(List.of()), (content) -> createVerifier(access, content))));
	}

}
