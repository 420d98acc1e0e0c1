package org.burdocktray.process.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.PeerError;
import org.burdocktray.connection.peer.PeerRequester;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;
import org.burdocktray.process.load.UpstreamDrain;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests membership loops connected by a fake network, in virtual time.
 */
class MembershipLoopTests {

	private static final int VMS = 4;

	private final TestScheduler scheduler = new TestScheduler();

	private final Map<NetworkAddress, MembershipLoop> network = new HashMap<>();

	private final List<MembershipLoop> loops = new ArrayList<>();

	private final List<UpstreamDrain> drains = new ArrayList<>();

	private final List<Long> higherVersions = new ArrayList<>();

	@BeforeEach
	void startAllAndWaitUntilJoined() {
		for (int index = 0; index < VMS; index++) {
			start(index);
		}
		this.scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
	}

	@Test
	void allVmsDiscoverEachOther() {
		assertThat(this.loops).allSatisfy((loop) -> assertThat(loop.view().aliveOthers()).hasSize(VMS - 1));
	}

	@Test
	void stoppedVmIsDetectedThroughFailedRequests() {
		this.network.remove(address(0));
		this.loops.get(0).dispose();
		this.scheduler.advanceTimeBy(30, TimeUnit.SECONDS);
		assertThat(this.loops.subList(1, VMS))
			.allSatisfy((loop) -> assertThat(loop.view().aliveOthers()).hasSize(VMS - 2));
	}

	@Test
	void leaveReachesAllOtherVms() {
		this.loops.get(0).leave();
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		assertThat(this.loops.subList(1, VMS))
			.allSatisfy((loop) -> assertThat(loop.view().aliveOthers()).hasSize(VMS - 2));
	}

	@Test
	void topicChangeReachesAllVmsBeforeTheNextTick() {
		this.loops.get(2).submit((nowNanos) -> this.drains.get(2).onLeavingRefusal("engine-3", nowNanos));
		this.scheduler.triggerActions();
		assertThat(this.drains).allSatisfy((drain) -> assertThat(drain.isLeaving("engine-3")).isTrue());
	}

	@Test
	void notifiesOfHigherBundleVersions() {
		assertThat(this.higherVersions).contains((long) VMS).doesNotContain(1L);
	}

	private void start(int index) {
		Vm vm = new Vm("vm-" + index, new DataCentre("ghent"), address(index));
		UpstreamDrain drain = new UpstreamDrain();
		Membership membership = new Membership(MembershipSettings.defaults(), vm, 1, List.of(address(0)),
				List.of(drain), () -> index + 1, new SplittableRandom(index), 0);
		PeerRequester requester = (peer, request, timeoutMillis) -> request(peer, request);
		MembershipLoop loop = new MembershipLoop(membership, requester,
				(peer, version) -> this.higherVersions.add(version), this.scheduler,
				() -> this.scheduler.now(TimeUnit.NANOSECONDS));
		this.network.put(vm.peerAddress(), loop);
		this.loops.add(loop);
		this.drains.add(drain);
		loop.start();
	}

	private Single<Either<PeerError, PeerEnvelope>> request(NetworkAddress peer, PeerEnvelope request) {
		MembershipLoop receiver = this.network.get(peer);
		if (receiver == null) {
			return Single.just(Either.left(PeerError.NOT_SENT));
		}
		return receiver.handle(request).map(Either::right);
	}

	private static NetworkAddress address(int index) {
		return new NetworkAddress("10.0.0." + (index + 1), 7400);
	}

}
