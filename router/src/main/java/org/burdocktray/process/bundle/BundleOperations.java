package org.burdocktray.process.bundle;

import java.util.Optional;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.version.signing.BundleApproval;
import org.burdocktray.version.signing.BundlePointer;
import org.burdocktray.version.signing.BundleProposal;
import org.burdocktray.version.signing.BundleSigner;
import org.burdocktray.version.signing.SignedBundle;
import org.burdocktray.version.signing.VerifiedBundle;

/**
 * Operations on bundles by operators. A bundle is rolled when its object under
 * {@link BundleKeys#ROLLED_PREFIX} is created; the pointer is advanced afterwards and
 * only speeds up finding it. Invariant: a version is rolled at most once, and only after
 * the preceding version. Thread safety: stateless; several operators can work
 * concurrently.
 */
public final class BundleOperations {

	private final RecordStore records;

	private final BundlePointerWriter pointer;

	/**
	 * Creates the operations.
	 * @param store the platform's store
	 * @param scheduler runs the delays between attempts
	 */
	public BundleOperations(PlatformStore store, Scheduler scheduler) {
		this.records = new RecordStore(store, scheduler);
		this.pointer = new BundlePointerWriter(store, scheduler);
	}

	/**
	 * Stores a proposal.
	 * @param proposal the signed proposal
	 * @return the proposal stored under this version and digest
	 */
	public Single<Either<OperationFailure, BundleProposal>> propose(BundleProposal proposal) {
		String key = BundleKeys.proposal(proposal.version(), proposal.contentDigest());
		return requireVersionFree(proposal.version(), proposal.contentDigest())
			.flatMap(flatMapRight((free) -> this.records.createOnce(key, proposal, BundleProposal.class)));
	}

	/**
	 * Reads a proposal.
	 * @param version the version
	 * @param contentDigest the digest of its content
	 * @return the proposal
	 */
	public Single<Either<OperationFailure, BundleProposal>> readProposal(long version, String contentDigest) {
		return require(BundleKeys.proposal(version, contentDigest), BundleProposal.class, "no such proposal");
	}

	/**
	 * Reads an approval.
	 * @param version the version
	 * @param contentDigest the digest of the content
	 * @return the approval, empty when the proposal is not approved
	 */
	public Single<Either<OperationFailure, Optional<BundleApproval>>> readApproval(long version, String contentDigest) {
		return this.records.read(BundleKeys.approval(version, contentDigest), BundleApproval.class);
	}

	/**
	 * Approves a proposal.
	 * @param version the version
	 * @param contentDigest the digest of its content
	 * @param verifier verifies a bundle or returns the reason why it is not acceptable
	 * @param signer signs the approval
	 * @return the approval stored under this version and digest
	 */
	public Single<Either<OperationFailure, BundleApproval>> approve(long version, String contentDigest,
			Function<SignedBundle, Either<String, VerifiedBundle>> verifier, BundleSigner signer) {
		String key = BundleKeys.approval(version, contentDigest);
		return readProposal(version, contentDigest).map((result) -> result.flatMap((found) -> {
			BundleApproval approval = signer.approve(found);
			return verifier.apply(SignedBundle.of(found, approval))
				.bimap(BundleOperations::refused, (verified) -> approval);
		})).flatMap(flatMapRight((approval) -> this.records.createOnce(key, approval, BundleApproval.class)));
	}

	/**
	 * Rolls an approved bundle. Succeeds if the same bundle is already rolled.
	 * @param version the version
	 * @param contentDigest the digest of its content
	 * @param verifier verifies a bundle or returns the reason why it is not acceptable
	 * @return the rolled bundle
	 */
	public Single<Either<OperationFailure, RollResult>> roll(long version, String contentDigest,
			Function<SignedBundle, Either<String, VerifiedBundle>> verifier) {
		return readRolled(version).flatMap(flatMapRight((existing) -> existing.isPresent()
				? finishRoll(existing.get(), contentDigest) : rollNew(version, contentDigest, verifier)));
	}

	/**
	 * Reads a rolled bundle.
	 * @param version the version
	 * @return the bundle, empty when the version is not rolled
	 */
	public Single<Either<OperationFailure, Optional<SignedBundle>>> readRolled(long version) {
		return this.records.read(BundleKeys.rolled(version), SignedBundle.class);
	}

	/**
	 * Finds the newest rolled bundle, even if the pointer lags behind.
	 * @return the bundle, empty when none is rolled
	 */
	public Single<Either<OperationFailure, Optional<SignedBundle>>> findNewest() {
		return this.records.read(BundleKeys.POINTER, BundlePointer.class)
			.flatMap(flatMapRight((found) -> findNewestFrom(found.map(BundlePointer::version).orElse(0L))));
	}

	private Single<Either<OperationFailure, Optional<SignedBundle>>> findNewestFrom(long version) {
		return readRolled(version + 1)
			.flatMap(flatMapRight((next) -> next.isPresent() ? findNewestFrom(version + 1) : readRolled(version)));
	}

	private Single<Either<OperationFailure, RollResult>> rollNew(long version, String contentDigest,
			Function<SignedBundle, Either<String, VerifiedBundle>> verifier) {
		return requireBaseRolled(version).flatMap(flatMapRight((base) -> readProposal(version, contentDigest)))
			.flatMap(flatMapRight((proposal) -> require(BundleKeys.approval(version, contentDigest),
					BundleApproval.class, "the proposal is not approved")
				.map((approval) -> approval.map((found) -> SignedBundle.of(proposal, found)))))
			.map((signed) -> signed.flatMap((bundle) -> verifier.apply(bundle).mapLeft(BundleOperations::refused)))
			.map((verified) -> verified.map(VerifiedBundle::signed))
			.flatMap(flatMapRight(
					(signed) -> this.records.createOnce(BundleKeys.rolled(version), signed, SignedBundle.class)))
			.flatMap(flatMapRight((winner) -> finishRoll(winner, contentDigest)));
	}

	private Single<Either<OperationFailure, RollResult>> finishRoll(SignedBundle winner, String contentDigest) {
		// Advances the pointer even if another bundle won the race, because the winner
		// may have failed before doing so.
		return this.pointer.advance(new BundlePointer(winner.version(), winner.contentDigest()))
			.map((moved) -> winner.contentDigest().equals(contentDigest) ? Either.right(new RollResult(winner, moved))
					: Either.left(lostRace(winner)));
	}

	private Single<Either<OperationFailure, Boolean>> requireVersionFree(long version, String contentDigest) {
		return readRolled(version).flatMap(flatMapRight((existing) -> {
			if (existing.isPresent() && !existing.get().contentDigest().equals(contentDigest)) {
				return Single.just(Either.left(lostRace(existing.get())));
			}
			return requireBaseRolled(version);
		}));
	}

	private Single<Either<OperationFailure, Boolean>> requireBaseRolled(long version) {
		if (version == 1) {
			return Single.just(Either.right(true));
		}
		return require(BundleKeys.rolled(version - 1), SignedBundle.class,
				"the base, version " + (version - 1) + ", is not rolled")
			.map((base) -> base.map((found) -> true));
	}

	private <T extends Record> Single<Either<OperationFailure, T>> require(String key, Class<T> type,
			String absentDetail) {
		return this.records.read(key, type)
			.map((result) -> result.flatMap((found) -> found.<Either<OperationFailure, T>>map(Either::right)
				.orElseGet(() -> Either.left(refused(absentDetail)))));
	}

	private static OperationFailure refused(String detail) {
		return new OperationFailure(OperationFailure.Kind.REFUSED, detail);
	}

	private static OperationFailure lostRace(SignedBundle winner) {
		return new OperationFailure(OperationFailure.Kind.LOST_RACE,
				"version " + winner.version() + " is already rolled with digest " + winner.contentDigest()
						+ ", proposed by " + winner.proposer() + " and approved by " + winner.approver());
	}

	private static <A, B> RightFlatMapper<A, B> flatMapRight(Function<A, Single<Either<OperationFailure, B>>> next) {
		return (result) -> result.isRight() ? next.apply(result.get()) : Single.just(Either.left(result.getLeft()));
	}

	/**
	 * Next step of an operation, skipped after a failure. Thread safety: stateless.
	 *
	 * @param <A> the result of the previous step
	 * @param <B> the result of this step
	 */
	private interface RightFlatMapper<A, B> extends
			io.reactivex.rxjava3.functions.Function<Either<OperationFailure, A>, Single<Either<OperationFailure, B>>> {

	}

}
