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

	private final Traffic traffic = new Traffic();

	private final List<InForce> history = new ArrayList<>();

	private PausableScheduler scheduler;

	private BundleGate gate;

	private Optional<BundleLoop> source = Optional.empty();

	private Disposable recording = Disposable.disposed();

	private long lastFaultMillis = -1;

	private int process;

	private int olderArrivals;

	private boolean startedReachable;

	SimulatedVm(SimulatedFleet fleet, Vm vm) {
		this.fleet = fleet;
		this.vm = vm;
	}

	Vm vm() {
		return this.vm;
	}

	Traffic traffic() {
		return this.traffic;
	}

	List<InForce> history() {
		return this.history;
	}

	long version() {
		return this.source.isPresent() ? this.gate.currentVersion() : 0;
	}

	int olderArrivals() {
		return this.olderArrivals;
	}

	boolean isUp() {
		return this.source.isPresent();
	}

	boolean answers() {
		return isUp() && !this.scheduler.isPaused();
	}

	void pause(long millis) {
		if (isUp()) {
			this.scheduler.pause(millis);
			fault(millis);
		}
	}

	/**
	 * Notes that this VM can't be held to the bound before a time.
	 * @param millis how long the fault lasts from now
	 */
	void fault(long millis) {
		this.lastFaultMillis = Math.max(this.lastFaultMillis, this.fleet.nowMillis() + millis);
	}

	boolean isFaultFreeSince(long millis) {
		return this.lastFaultMillis < millis;
	}

	void stop() {
		this.source.ifPresent(BundleLoop::stop);
		this.recording.dispose();
		this.source = Optional.empty();
	}

	void start() {
		this.process++;
		this.scheduler = new PausableScheduler(this.fleet.time());
		this.gate = new BundleGate();
		this.startedReachable = this.fleet.reachesPlatform(this);
		this.recording = this.gate.changes()
			.subscribe((snapshot) -> this.history.add(new InForce(this.process, snapshot.bundle().version(),
					snapshot.bundle().models().get(0).modelVersion(), this.fleet.nowMillis(), this.startedReachable)));
		BundleFollower follower = new BundleFollower(this.vm, this.fleet.seeds(this), this.fleet.pool()::verify,
				this.fleet.followerSettings(), this.fleet.random());
		BundleLoop started = new BundleLoop(follower,
				this.fleet.store().client(() -> this.fleet.reachesPlatform(this), this.traffic), this::request,
				() -> PeerEnvelope.newBuilder().setBundleVersion(this.fleet.usesDeltas() ? version() : 0), this.gate,
				this.scheduler, () -> this.fleet.time().now(TimeUnit.NANOSECONDS));
		this.source = Optional.of(started);
		started.start();
	}

	void membersChanged(List<Vm> alive) {
		this.source.ifPresent((running) -> running.onMembersChanged(alive));
	}

	void platformCut() {
		this.startedReachable = false;
	}

	/**
	 * Exchanges a heartbeat, by which both learn the other's version.
	 * @param other the other VM
	 */
	void heartbeat(SimulatedVm other) {
		if (!answers() || !this.fleet.connects(this, other) || !other.answers()) {
			return;
		}
		long ownVersion = version();
		long otherVersion = other.version();
		this.fleet.later(LATENCY_MILLIS, () -> other.seen(this, ownVersion));
		this.fleet.later(2 * LATENCY_MILLIS, () -> seen(other, otherVersion));
	}

	private void seen(SimulatedVm peer, long peerVersion) {
		this.source.ifPresent((running) -> running.onPeerVersion(peer.vm.peerAddress(), peerVersion));
	}

	private Single<Either<PeerError, PeerEnvelope>> request(NetworkAddress address, PeerEnvelope request,
			long timeoutMillis) {
		SimulatedVm peer = this.fleet.vm(address);
		return Single.create((emitter) -> {
			long delayMillis = LATENCY_MILLIS + this.fleet.slownessMillis();
			this.fleet.later(delayMillis, () -> {
				if (!this.fleet.connects(this, peer) || !peer.answers()) {
					this.fleet.later(PEER_TIMEOUT_MILLIS, () -> emitter.onSuccess(Either.left(PeerError.UNRESOLVED)));
					return;
				}
				BundleReply reply = peer.source.orElseThrow().replyTo(request);
				if (reply.getVersion() > 0) {
					peer.traffic.sent(reply.getSignedBundle().toStringUtf8());
				}
				this.fleet.later(delayMillis, () -> {
					if (reply.getVersion() > 0) {
						this.traffic.received(reply.getSignedBundle().toStringUtf8());
					}
					this.olderArrivals += (reply.getVersion() != 0 && reply.getVersion() < version()) ? 1 : 0;
					emitter.onSuccess(Either.right(PeerEnvelope.newBuilder().setBundleReply(reply).build()));
				});
			});
		});
	}

	/**
	 * A bundle that came into force.
	 *
	 * @param process counts the processes of this VM
	 * @param version the version
	 * @param mark tells contents of one version apart
	 * @param atMillis when
	 * @param platformSeen whether the platform was reachable from the process's start on
	 */
	record InForce(int process, long version, String mark, long atMillis, boolean platformSeen) {

	}

}
