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
 * A VM of the simulated fleet, which runs the product's own follower and gate. Thread
 * safety: one thread.
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
	 * Notes that this VM can't be held to the bound before a time.
	 * @param millis how long the fault lasts from now
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
		BundleLoop started = new BundleLoop(follower,
				this.fleet.store().createClient(() -> this.fleet.canReachPlatform(this), this.traffic),
				this::sendPeerRequest,
				() -> PeerEnvelope.newBuilder().setBundleVersion(this.fleet.usesDeltas() ? currentVersion() : 0),
				this.gate, this.scheduler, () -> this.fleet.scheduler().now(TimeUnit.NANOSECONDS));
		this.bundleLoop = Optional.of(started);
		started.start();
	}

	void onMembersChanged(List<Vm> alive) {
		this.bundleLoop.ifPresent((running) -> running.onMembersChanged(alive));
	}

	void onPlatformDisconnected() {
		this.platformReachableSinceStart = false;
	}

	/**
	 * Exchanges a heartbeat, by which both learn the other's version.
	 * @param other the other VM
	 */
	void exchangeHeartbeat(SimulatedVm other) {
		if (!isResponsive() || !this.fleet.canConnect(this, other) || !other.isResponsive()) {
			return;
		}
		long ownVersion = currentVersion();
		long otherVersion = other.currentVersion();
		this.fleet.schedule(LATENCY_MILLIS, () -> other.recordPeerVersion(this, ownVersion));
		this.fleet.schedule(2 * LATENCY_MILLIS, () -> recordPeerVersion(other, otherVersion));
	}

	private void recordPeerVersion(SimulatedVm peer, long peerVersion) {
		this.bundleLoop.ifPresent((running) -> running.onPeerVersion(peer.vm.peerAddress(), peerVersion));
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
	 * A bundle that came into force.
	 *
	 * @param processNumber counts the processes of this VM
	 * @param version the version
	 * @param contentLabel tells contents of one version apart
	 * @param atMillis when
	 * @param platformReachableSinceStart whether the platform was reachable from the
	 * process's start on
	 */
	record Activation(int processNumber, long version, String contentLabel, long atMillis,
			boolean platformReachableSinceStart) {

	}

}
