package org.burdocktray.bench.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.PeerError;
import org.burdocktray.connection.peer.generated.BundleReply;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;
import org.burdocktray.process.bundle.BundleFollower;
import org.burdocktray.process.bundle.BundleLoop;
import org.burdocktray.version.gate.BundleGate;

/**
 * A VM of the simulated fleet that runs the production follower and gate. Thread safety:
 * one thread.
 */
final class SimulatedVm {

	private static final int LATENCY_MILLIS = 1;

	private static final int PEER_TIMEOUT_MILLIS = 2_000;

	private final SimulatedFleet fleet;

	private final Vm vm;

	private final BundleTraffic traffic = new BundleTraffic();

	private final List<Activation> activations = new ArrayList<>();

	private PausableScheduler scheduler;

	private BundleGate gate;

	private Optional<BundleLoop> bundleLoop = Optional.empty();

	private Disposable changeSubscription = Disposable.disposed();

	private long faultUntilMillis = -1;

	private int processNumber;

	private int staleReplies;

	private boolean platformReachableSinceStart;

	SimulatedVm(SimulatedFleet fleet, Vm vm) {
		this.fleet = fleet;
		this.vm = vm;
	}

	Vm vm() {
		return this.vm;
	}

	BundleTraffic traffic() {
		return this.traffic;
	}

	List<Activation> activations() {
		return this.activations;
	}

	long currentVersion() {
		return this.bundleLoop.isPresent() ? this.gate.currentVersion() : 0;
	}

	int staleReplies() {
		return this.staleReplies;
	}

	boolean isUp() {
		return this.bundleLoop.isPresent();
	}

	boolean isResponsive() {
		return isUp() && !this.scheduler.isPaused();
	}

	void pause(long millis) {
		if (isUp()) {
			this.scheduler.pause(millis);
			recordFault(millis);
		}
	}

	/**
	 * Records a fault, during which the bound is not checked for this VM.
	 * @param millis the duration of the fault from now
	 */
	void recordFault(long millis) {
		this.faultUntilMillis = Math.max(this.faultUntilMillis, this.fleet.nowMillis() + millis);
	}

	boolean isFaultFreeSince(long millis) {
		return this.faultUntilMillis < millis;
	}

	void stop() {
		this.bundleLoop.ifPresent(BundleLoop::stop);
		this.changeSubscription.dispose();
		this.bundleLoop = Optional.empty();
	}

	void start() {
		this.processNumber++;
		this.scheduler = new PausableScheduler(this.fleet.scheduler());
		this.gate = new BundleGate();
		this.platformReachableSinceStart = this.fleet.canReachPlatform(this);
		this.changeSubscription = this.gate.changes()
			.subscribe((snapshot) -> this.activations.add(new Activation(this.processNumber,
					snapshot.bundle().version(), snapshot.bundle().models().get(0).modelVersion(),
					this.fleet.nowMillis(), this.platformReachableSinceStart)));
		BundleFollower follower = new BundleFollower(this.vm, this.fleet.seedPeers(this), this.fleet.signing()::verify,
				this.fleet.followerSettings(), this.fleet.random());
		BundleLoop newLoop = new BundleLoop(follower,
				this.fleet.store().createClient(() -> this.fleet.canReachPlatform(this), this.traffic),
				this::sendPeerRequest,
				() -> PeerEnvelope.newBuilder().setBundleVersion(this.fleet.usesDeltas() ? currentVersion() : 0),
				this.gate, this.scheduler, () -> this.fleet.scheduler().now(TimeUnit.NANOSECONDS));
		this.bundleLoop = Optional.of(newLoop);
		newLoop.start();
	}

	void onMembersChanged(List<Vm> reachableVms) {
		this.bundleLoop.ifPresent((loop) -> loop.onMembersChanged(reachableVms));
	}

	void onPlatformDisconnected() {
		this.platformReachableSinceStart = false;
	}

	/**
	 * Exchanges a heartbeat, in which both VMs receive the version of the other one.
	 * @param peer the other VM
	 */
	void exchangeHeartbeat(SimulatedVm peer) {
		if (!isResponsive() || !this.fleet.canConnect(this, peer) || !peer.isResponsive()) {
			return;
		}
		long ownVersion = currentVersion();
		long peerVersion = peer.currentVersion();
		this.fleet.schedule(LATENCY_MILLIS, () -> peer.recordPeerVersion(this, ownVersion));
		this.fleet.schedule(2 * LATENCY_MILLIS, () -> recordPeerVersion(peer, peerVersion));
	}

	private void recordPeerVersion(SimulatedVm peer, long peerVersion) {
		this.bundleLoop.ifPresent((loop) -> loop.onPeerVersion(peer.vm.peerAddress(), peerVersion));
	}

	private Single<Either<PeerError, PeerEnvelope>> sendPeerRequest(NetworkAddress address, PeerEnvelope request,
			long timeoutMillis) {
		SimulatedVm peer = this.fleet.vm(address);
		return Single.create((emitter) -> {
			long delayMillis = LATENCY_MILLIS + this.fleet.randomPeerDelayMillis();
			this.fleet.schedule(delayMillis, () -> {
				if (!this.fleet.canConnect(this, peer) || !peer.isResponsive()) {
					this.fleet.schedule(PEER_TIMEOUT_MILLIS,
							() -> emitter.onSuccess(Either.left(PeerError.UNRESOLVED)));
					return;
				}
				BundleReply reply = peer.bundleLoop.orElseThrow().replyTo(request);
				if (reply.getVersion() > 0) {
					peer.traffic.recordSent(reply.getSignedBundle().toStringUtf8());
				}
				this.fleet.schedule(delayMillis, () -> {
					if (reply.getVersion() > 0) {
						this.traffic.recordReceived(reply.getSignedBundle().toStringUtf8());
					}
					this.staleReplies += (reply.getVersion() != 0 && reply.getVersion() < currentVersion()) ? 1 : 0;
					emitter.onSuccess(Either.right(PeerEnvelope.newBuilder().setBundleReply(reply).build()));
				});
			});
		});
	}

	/**
	 * A bundle that was put in force.
	 *
	 * @param processNumber the number of the process of this VM, from 1
	 * @param version the version
	 * @param contentLabel a label that distinguishes contents of one version
	 * @param atMillis the time at which the bundle was put in force
	 * @param platformReachableSinceStart whether the platform has been reachable since
	 * the start of the process
	 */
	record Activation(int processNumber, long version, String contentLabel, long atMillis,
			boolean platformReachableSinceStart) {

	}

}
