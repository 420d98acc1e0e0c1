package org.burdocktray.process.bundle;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.PeerRequester;
import org.burdocktray.connection.peer.generated.BundleReply;
import org.burdocktray.connection.peer.generated.BundleRequest;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;
import org.burdocktray.version.gate.BundleGate;
import org.burdocktray.version.routing.RoutingSnapshot;
import org.burdocktray.version.signing.VerifiedBundle;
import org.jboss.logging.Logger;

/**
 * Follows the rolled bundles for one VM: performs the actions of a {@link BundleFollower}
 * and serves the newest bundle to other VMs. Thread safety: all methods can be called
 * from any thread; the follower runs on one worker.
 */
public final class BundleLoop {

	private static final Logger LOGGER = Logger.getLogger(BundleLoop.class);

	private static final long READ_TIMEOUT_MILLIS = 5_000;

	private static final long PEER_TIMEOUT_MILLIS = 2_000;

	private final BundleFollower follower;

	private final PlatformStore store;

	private final PeerRequester peers;

	private final Supplier<PeerEnvelope.Builder> envelopeFactory;

	private final BundleGate gate;

	private final Scheduler scheduler;

	private final Scheduler.Worker worker;

	private final LongSupplier nanoClock;

	private final SerialDisposable timer = new SerialDisposable();

	private final SerialDisposable watch = new SerialDisposable();

	private final AtomicLong refusedCount = new AtomicLong();

	private final BundleReplies replies = new BundleReplies();

	/**
	 * Creates a loop that is not started.
	 * @param follower makes the decisions
	 * @param store the platform's store
	 * @param peers sends requests to other VMs
	 * @param envelopeFactory creates envelopes that contain this VM's name and bundle
	 * version
	 * @param gate puts bundles in force
	 * @param scheduler runs the follower and its timers
	 * @param nanoClock the monotonic clock
	 */
	public BundleLoop(BundleFollower follower, PlatformStore store, PeerRequester peers,
			Supplier<PeerEnvelope.Builder> envelopeFactory, BundleGate gate, Scheduler scheduler,
			LongSupplier nanoClock) {
		this.follower = follower;
		this.store = store;
		this.peers = peers;
		this.envelopeFactory = envelopeFactory;
		this.gate = gate;
		this.scheduler = scheduler;
		this.worker = scheduler.createWorker();
		this.nanoClock = nanoClock;
	}

	/**
	 * Starts following the rolled bundles.
	 */
	public void start() {
		handle(this.follower::start);
	}

	/**
	 * Stops permanently.
	 */
	public void stop() {
		this.worker.dispose();
		this.timer.dispose();
		this.watch.dispose();
	}

	/**
	 * Handles a change of the members that are alive in this VM's local view.
	 * @param alive the members
	 */
	public void onMembersChanged(List<Vm> alive) {
		handle((nowNanos) -> this.follower.onMembersChanged(alive, nowNanos));
	}

	/**
	 * Handles the version that another VM reports as in force. Must be called for each
	 * received envelope.
	 * @param peer its address
	 * @param version the version
	 */
	public void onPeerVersion(NetworkAddress peer, long version) {
		if (version > this.gate.currentVersion()) {
			handle((nowNanos) -> this.follower.onPeerVersion(peer, version, nowNanos));
		}
	}

	/**
	 * Returns the reply to another VM's request for a bundle.
	 * @param request the request, which contains the version in force at the other VM
	 * @return the newest bundle in force here, as a delta if the base of the other VM is
	 * available; an empty message when there is none or a different version was requested
	 */
	public BundleReply replyTo(PeerEnvelope request) {
		BundleReply reply = this.replies.replyTo(request.getBundleVersion());
		long requestedVersion = request.getBundleRequest().getVersion();
		return (requestedVersion == 0 || requestedVersion == reply.getVersion()) ? reply
				: BundleReply.getDefaultInstance();
	}

	/**
	 * Returns the number of bundles refused since the start, from any source.
	 * @return the count
	 */
	public long refusedCount() {
		return this.refusedCount.get();
	}

	private void handle(Function<Long, List<FollowerAction>> event) {
		this.worker.schedule(() -> event.apply(this.nanoClock.getAsLong()).forEach(this::perform));
	}

	private void perform(FollowerAction action) {
		if (action instanceof FollowerAction.ReadPointer) {
			read(BundleKeys.POINTER, (response) -> handle((now) -> this.follower.onPointerRead(response, now)));
		}
		else if (action instanceof FollowerAction.ReadRolled rolled) {
			read(BundleKeys.rolled(rolled.version()),
					(response) -> handle((now) -> this.follower.onRolledRead(rolled.version(), response, now)));
		}
		else if (action instanceof FollowerAction.OpenWatch open) {
			openWatch(open.afterRevision());
		}
		else if (action instanceof FollowerAction.CloseWatch) {
			this.watch.set(Disposable.disposed());
		}
		else if (action instanceof FollowerAction.FetchFromPeer fetch) {
			fetchFromPeer(fetch.peer());
		}
		else if (action instanceof FollowerAction.PutInForce offer) {
			putInForce(offer.bundle());
		}
		else if (action instanceof FollowerAction.ReportRefused report) {
			reportRefused(report);
		}
		else if (action instanceof FollowerAction.SetTimer set) {
			setTimer(set.atNanos());
		}
	}

	private void read(String key, Consumer<Either<StoreError, Optional<StoredObject>>> onResponse) {
		this.store.read(key)
			.timeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, this.scheduler)
			.onErrorReturnItem(Either.left(StoreError.UNAVAILABLE))
			.subscribe(onResponse::accept);
	}

	private void openWatch(long afterRevision) {
		this.watch.set(this.store.watch(BundleKeys.ROLLED_PREFIX, afterRevision)
			.subscribe((object) -> handle((now) -> this.follower.onWatchEvent(object, now)),
					(failure) -> handle(this.follower::onWatchEnded), () -> handle(this.follower::onWatchEnded)));
	}

	private void fetchFromPeer(NetworkAddress peer) {
		PeerEnvelope request = this.envelopeFactory.get().setBundleRequest(BundleRequest.getDefaultInstance()).build();
		this.peers.request(peer, request, PEER_TIMEOUT_MILLIS)
			.map((result) -> result.isRight() ? signedBundle(result.get()) : Optional.<String>empty())
			.onErrorReturnItem(Optional.empty())
			.subscribe((reply) -> handle((now) -> this.follower.onPeerReply(peer, reply, now)));
	}

	private static Optional<String> signedBundle(PeerEnvelope envelope) {
		if (!envelope.hasBundleReply() || envelope.getBundleReply().getVersion() == 0) {
			return Optional.empty();
		}
		return Optional.of(envelope.getBundleReply().getSignedBundle().toString(StandardCharsets.UTF_8));
	}

	private void putInForce(VerifiedBundle verified) {
		if (!this.gate.offer(RoutingSnapshot.of(verified.bundle()))) {
			return;
		}
		this.replies.addBundle(verified.signed());
		LOGGER.infof("Bundle in force: version=%d digest=%s", verified.signed().version(),
				verified.signed().contentDigest());
	}

	private void reportRefused(FollowerAction.ReportRefused report) {
		this.refusedCount.incrementAndGet();
		if (report.isFirst()) {
			LOGGER.errorf("Bundle refused: source=%s reason=%s", report.source(), report.reason());
		}
	}

	private void setTimer(long atNanos) {
		long delayNanos = Math.max(0, atNanos - this.nanoClock.getAsLong());
		this.timer
			.set(this.worker.schedule(() -> this.follower.onTimer(this.nanoClock.getAsLong()).forEach(this::perform),
					delayNanos, TimeUnit.NANOSECONDS));
	}

}
