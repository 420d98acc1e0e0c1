package org.burdocktray.process.bundle;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;
import org.burdocktray.version.signing.BundleCodec;
import org.burdocktray.version.signing.BundlePointer;
import org.burdocktray.version.signing.BundleProposal;
import org.burdocktray.version.signing.BundleVerifier;
import org.burdocktray.version.signing.SignedBundle;
import org.burdocktray.version.signing.SignedBundles;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which bundles a follower puts in force and when it queries the platform and its
 * peers.
 */
class BundleFollowerTests {

	private static final NetworkAddress PEER = new NetworkAddress("10.0.0.2", 7070);

	private static final NetworkAddress SECOND_PEER = new NetworkAddress("10.0.0.3", 7070);

	private static final Vm SELF = new Vm("vm1", new DataCentre("ghent"), new NetworkAddress("10.0.0.1", 7070));

	private final BundleFollower follower = new BundleFollower(SELF, List.of(PEER, SECOND_PEER),
			new BundleVerifier(SignedBundles.trustedOperators())::verify, FollowerSettings.DEFAULT, new Random(1));

	@Test
	void waitsForThePlatformBeforeUsingABundleFromAPeer() {
		this.follower.start(0);
		assertThat(versionsPutInForce(this.follower.onPeerReply(PEER, Optional.of(storedText(3)), 1))).isEmpty();
		this.follower.onPointerRead(pointerResponse(5), 2);
		assertThat(versionsPutInForce(this.follower.onRolledRead(5, rolledResponse(5), 3))).isEmpty();
		assertThat(versionsPutInForce(this.follower.onRolledRead(6, Either.right(Optional.empty()), 4)))
			.containsExactly(5L);
	}

	@Test
	void usesTheNewestBundleOfItsPeersWhenThePlatformIsUnreachable() {
		this.follower.start(0);
		this.follower.onPointerRead(Either.left(StoreError.UNAVAILABLE), 1);
		assertThat(versionsPutInForce(this.follower.onPeerReply(PEER, Optional.of(storedText(4)), 2))).isEmpty();
		assertThat(versionsPutInForce(this.follower.onPeerReply(SECOND_PEER, Optional.of(storedText(3)), 3)))
			.containsExactly(4L);
	}

	@Test
	void putsNothingInForceAndRetriesWhenNoSourceResponds() {
		this.follower.start(0);
		this.follower.onPointerRead(Either.left(StoreError.UNAVAILABLE), 1);
		this.follower.onPeerReply(PEER, Optional.empty(), 2);
		assertThat(versionsPutInForce(this.follower.onPeerReply(SECOND_PEER, Optional.empty(), 3))).isEmpty();
		assertThat(this.follower.onTimer(TimeUnit.SECONDS.toNanos(2))).contains(new FollowerAction.FetchFromPeer(PEER),
				new FollowerAction.ReadPointer());
	}

	@Test
	void findsABundleNewerThanThePointer() {
		this.follower.start(0);
		this.follower.onPointerRead(pointerResponse(5), 1);
		assertThat(this.follower.onRolledRead(5, rolledResponse(5), 2)).contains(new FollowerAction.ReadRolled(6));
		this.follower.onRolledRead(6, rolledResponse(6), 3);
		assertThat(versionsPutInForce(this.follower.onRolledRead(7, Either.right(Optional.empty()), 4)))
			.containsExactly(6L);
	}

	@Test
	void fetchesANewerBundleFromAPeerAndIgnoresOlderOnes() {
		startAt(5);
		assertThat(this.follower.onPeerVersion(PEER, 5, 10)).isEmpty();
		assertThat(this.follower.onPeerVersion(PEER, 7, 11)).contains(new FollowerAction.FetchFromPeer(PEER));
		assertThat(versionsPutInForce(this.follower.onPeerReply(PEER, Optional.of(storedText(7)), 12)))
			.containsExactly(7L);
		assertThat(versionsPutInForce(this.follower.onRolledRead(6, rolledResponse(6), 13))).isEmpty();
		assertThat(versionsPutInForce(this.follower.onWatchEvent(rolledObject(6, storedText(6)), 14))).isEmpty();
	}

	@Test
	void reportsAForgedBundleOncePerSourceAndReadsThePlatformInstead() {
		startAt(5);
		String forged = BundleCodec.write(forgedBundle(9));
		this.follower.onPeerVersion(PEER, 9, 10);
		List<FollowerAction> actions = this.follower.onPeerReply(PEER, Optional.of(forged), 11);
		assertThat(versionsPutInForce(actions)).isEmpty();
		assertThat(actions).contains(new FollowerAction.ReadRolled(6)).anyMatch(BundleFollowerTests::isFirstReport);
		assertThat(this.follower.onPeerVersion(PEER, 9, 12)).isEmpty();
		assertThat(this.follower.onWatchEvent(rolledObject(9, forged), 13))
			.anyMatch(BundleFollowerTests::isFirstReport);
		assertThat(this.follower.onWatchEvent(rolledObject(9, forged), 14))
			.noneMatch(BundleFollowerTests::isFirstReport);
	}

	@Test
	void reportsDifferentContentForTheVersionInForce() {
		startAt(5);
		SignedBundle other = SignedBundles.signed(5, SignedBundles.content(5, 2));
		List<FollowerAction> actions = this.follower.onWatchEvent(rolledObject(5, BundleCodec.write(other)), 10);
		assertThat(versionsPutInForce(actions)).isEmpty();
		assertThat(actions).anyMatch(BundleFollowerTests::isFirstReport);
	}

	@Test
	void selectsTwoWatchersPerDataCentre() {
		List<Vm> members = IntStream.range(0, 18)
			.mapToObj((index) -> new Vm("vm" + index, new DataCentre((index % 2 == 0) ? "ghent" : "leuven"), PEER))
			.toList();
		assertThat(members.stream()
			.filter((vm) -> vm.dataCentre().name().equals("ghent"))
			.filter((vm) -> WatcherSelection.isWatcher(vm.name(), vm.dataCentre(), members, 2))).hasSize(2);
	}

	@Test
	void reopensTheWatchAndRescansAfterItEnds() {
		startAt(5);
		assertThat(this.follower.onMembersChanged(List.of(SELF), 10)).contains(new FollowerAction.OpenWatch(5),
				new FollowerAction.ReadRolled(6));
		this.follower.onRolledRead(6, Either.right(Optional.empty()), 11);
		this.follower.onWatchEnded(12);
		assertThat(this.follower.onTimer(TimeUnit.SECONDS.toNanos(2))).contains(new FollowerAction.OpenWatch(5),
				new FollowerAction.ReadRolled(6));
	}

	private void startAt(long version) {
		this.follower.start(0);
		this.follower.onPeerReply(PEER, Optional.empty(), 1);
		this.follower.onPeerReply(SECOND_PEER, Optional.empty(), 1);
		this.follower.onPointerRead(pointerResponse(version), 2);
		this.follower.onRolledRead(version, rolledResponse(version), 3);
		this.follower.onRolledRead(version + 1, Either.right(Optional.empty()), 4);
	}

	private static List<Long> versionsPutInForce(List<FollowerAction> actions) {
		return actions.stream()
			.filter(FollowerAction.PutInForce.class::isInstance)
			.map((action) -> ((FollowerAction.PutInForce) action).bundle().bundle().version())
			.toList();
	}

	private static boolean isFirstReport(FollowerAction action) {
		return action instanceof FollowerAction.ReportRefused report && report.isFirst();
	}

	private static String storedText(long version) {
		return BundleCodec.write(SignedBundles.signed(version, SignedBundles.content(version, 1)));
	}

	private static SignedBundle forgedBundle(long version) {
		BundleProposal proposal = SignedBundles.signer("eve").propose(version, SignedBundles.content(version, 1));
		return SignedBundle.of(proposal, SignedBundles.signer("jan").approve(proposal));
	}

	private static StoredObject rolledObject(long version, String value) {
		return new StoredObject(BundleKeys.rolled(version), version, value);
	}

	private static Either<StoreError, Optional<StoredObject>> rolledResponse(long version) {
		return Either.right(Optional.of(rolledObject(version, storedText(version))));
	}

	private static Either<StoreError, Optional<StoredObject>> pointerResponse(long version) {
		String value = BundleCodec.write(new BundlePointer(version, "digest"));
		return Either.right(Optional.of(new StoredObject(BundleKeys.POINTER, 1, value)));
	}

}
