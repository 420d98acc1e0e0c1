package org.burdocktray.bench.bundle;

import java.util.Optional;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.process.bundle.BundleOperations;
import org.burdocktray.process.bundle.OperationFailure;
import org.burdocktray.process.bundle.RollResult;
import org.burdocktray.version.signing.BundleProposal;

/**
 * An operator who proposes a bundle, obtains the approval of the other operator and rolls
 * the bundle, through the operations that the commands use. Thread safety: one thread.
 */
final class SimulatedOperator {

	private final SigningFixture signing;

	private final BundleOperations operations;

	private final BundleProposal proposal;

	private final String approver;

	private Optional<Either<OperationFailure, RollResult>> outcome = Optional.empty();

	SimulatedOperator(SimulatedFleet fleet, String name, long version, int attempt) {
		this.signing = fleet.signing();
		this.operations = new BundleOperations(fleet.store().createClient(() -> true, new BundleTraffic()),
				fleet.scheduler());
		this.proposal = this.signing.createProposal(name, version, attempt);
		this.approver = SigningFixture.otherOperator(name);
	}

	void start() {
		long version = this.proposal.version();
		String digest = this.proposal.contentDigest();
		this.operations.propose(this.proposal)
			.flatMap((proposed) -> proposed.isLeft() ? Single.just(Either.left(proposed.getLeft()))
					: this.operations.approve(version, digest, this.signing::verify,
							this.signing.createSigner(this.approver)))
			.flatMap((approved) -> approved.isLeft()
					? Single.just(Either.<OperationFailure, RollResult>left(approved.getLeft()))
					: this.operations.roll(version, digest, this.signing::verify))
			.subscribe((result) -> this.outcome = Optional.of(result));
	}

	long version() {
		return this.proposal.version();
	}

	/**
	 * Returns whether the outcome that the operator received is consistent with the
	 * store.
	 * @param rolledDigest the digest that is rolled under the version, empty for none
	 * @return false if the outcome is wrong or missing
	 */
	boolean isOutcomeConsistent(Optional<String> rolledDigest) {
		boolean isOwn = rolledDigest.filter(this.proposal.contentDigest()::equals).isPresent();
		return this.outcome.filter((result) -> result.fold((failure) -> switch (failure.kind()) {
			case REFUSED, UNAVAILABLE -> !isOwn;
			case LOST_RACE -> !isOwn && rolledDigest.isPresent();
			case UNKNOWN -> true;
		}, (rolled) -> isOwn)).isPresent();
	}

}
