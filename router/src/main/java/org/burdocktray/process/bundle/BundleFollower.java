package org.burdocktray.process.bundle;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;
import org.burdocktray.version.signing.BundleCodec;
import org.burdocktray.version.signing.BundlePointer;
import org.burdocktray.version.signing.SignedBundle;
import org.burdocktray.version.signing.SignedDelta;
import org.burdocktray.version.signing.VerifiedBundle;

/**
 * Decides how a VM finds rolled bundles and which one it puts in force. Invariants: only
 * verified bundles are put in force, and their versions only increase. A starting VM
 * first reads the platform; only when the platform fails does it use the newest verified
 * bundle of the peers that replied. Such a VM can be behind the version that an earlier
 * process under its name had in force, when no reachable peer has that version. Thread
 * safety: none; must be used by one thread at a time.
 */
public final class BundleFollower {

	private static final double JITTER_RATIO = 0.2;

	private static final String PLATFORM_SOURCE = "platform";

	private final String vmName;

	private final DataCentre dataCentre;

	private final List<NetworkAddress> seedPeers;

	private final Function<SignedBundle, Either<String, VerifiedBundle>> verifier;

	private final FollowerSettings settings;

	private final RandomGenerator random;

	private final RolledBundleScan scan = new RolledBundleScan();

	private final RefusedBundles refusedBundles = new RefusedBundles();

	private final Set<NetworkAddress> pendingPeers = new HashSet<>();

	private List<Vm> members = List.of();

	private Optional<VerifiedBundle> newest = Optional.empty();

	private Optional<NetworkAddress> queuedPeer = Optional.empty();

	private long queuedVersion;

	private boolean isStarting = true;

	private boolean platformFailed;

	private boolean isWatcher;

	private boolean isWatching;

	private StoreRevision storeRevision = StoreRevision.NONE;

	private long pollAtNanos;

	private long watchAtNanos;

	/**
	 * Creates a follower without a bundle.
	 * @param vm this VM
	 * @param seedPeers the peers queried at startup in addition to the members
	 * @param verifier verifies a bundle or returns the reason why it is not acceptable
	 * @param settings the intervals and limits
	 * @param random the source of jitter
	 */
	public BundleFollower(Vm vm, List<NetworkAddress> seedPeers,
			Function<SignedBundle, Either<String, VerifiedBundle>> verifier, FollowerSettings settings,
			RandomGenerator random) {
		this.vmName = vm.name();
		this.dataCentre = vm.dataCentre();
		this.seedPeers = List.copyOf(seedPeers);
		this.verifier = verifier;
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Begins the first startup round.
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<FollowerAction> start(long nowNanos) {
		this.watchAtNanos = nowNanos;
		List<FollowerAction> actions = new ArrayList<>();
		beginStartupRound(nowNanos, actions);
		return withTimer(actions);
	}

	/**
	 * Handles a change of the members that are alive in this VM's local view.
	 * @param alive the members, with or without this VM
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<FollowerAction> onMembersChanged(List<Vm> alive, long nowNanos) {
		this.members = List.copyOf(alive);
		List<FollowerAction> actions = new ArrayList<>();
		boolean isSelected = WatcherSelection.isWatcher(this.vmName, this.dataCentre, alive,
				this.settings.watchersPerDataCentre());
		if (isSelected != this.isWatcher) {
			this.isWatcher = isSelected;
			this.pollAtNanos = nextPollNanos(nowNanos);
		}
		if (!isSelected && this.isWatching) {
			this.isWatching = false;
			actions.add(new FollowerAction.CloseWatch());
		}
		openWatchIfDue(nowNanos, actions);
		return withTimer(actions);
	}

	/**
	 * Handles the response to {@link FollowerAction.ReadPointer}.
	 * @param response the object, empty when it does not exist, or the error
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<FollowerAction> onPointerRead(Either<StoreError, Optional<StoredObject>> response, long nowNanos) {
		List<FollowerAction> actions = new ArrayList<>();
		if (response.isLeft()) {
			endScan(true, nowNanos, actions);
			return withTimer(actions);
		}
		long version = response.get()
			.flatMap((object) -> BundleCodec.read(object.value(), BundlePointer.class))
			.map(BundlePointer::version)
			.orElse(0L);
		actions.add(this.scan.onPointerRead(version));
		return withTimer(actions);
	}

	/**
	 * Handles the response to {@link FollowerAction.ReadRolled}.
	 * @param version the version that was read
	 * @param response the object, empty when it does not exist, or the error
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<FollowerAction> onRolledRead(long version, Either<StoreError, Optional<StoredObject>> response,
			long nowNanos) {
		List<FollowerAction> actions = new ArrayList<>();
		if (response.isLeft()) {
			endScan(true, nowNanos, actions);
			return withTimer(actions);
		}
		response.get().ifPresent((object) -> acceptStored(object, actions));
		Optional<FollowerAction> next = this.scan.onRolledRead(version, response.get().isPresent());
		next.ifPresentOrElse(actions::add, () -> endScan(false, nowNanos, actions));
		return withTimer(actions);
	}

	/**
	 * Handles an object reported by the watch.
	 * @param object the object
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<FollowerAction> onWatchEvent(StoredObject object, long nowNanos) {
		List<FollowerAction> actions = new ArrayList<>();
		if (BundleKeys.rolledVersion(object.key()).isPresent()) {
			acceptStored(object, actions);
		}
		return withTimer(actions);
	}

	/**
	 * Handles the end of the watch.
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<FollowerAction> onWatchEnded(long nowNanos) {
		List<FollowerAction> actions = new ArrayList<>();
		this.isWatching = false;
		this.watchAtNanos = nowNanos + jitteredNanos(this.settings.watchRetryMillis());
		return withTimer(actions);
	}

	/**
	 * Handles the version that another VM reports as in force.
	 * @param peer its address
	 * @param version the version
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<FollowerAction> onPeerVersion(NetworkAddress peer, long version, long nowNanos) {
		List<FollowerAction> actions = new ArrayList<>();
		if (version <= newestVersion() || this.refusedBundles.isSuspect(peer, nowNanos)) {
			return actions;
		}
		if (this.pendingPeers.isEmpty() || this.isStarting) {
			fetchFromPeer(peer, actions);
		}
		else if (version > this.queuedVersion) {
			this.queuedVersion = version;
			this.queuedPeer = Optional.of(peer);
		}
		return actions;
	}

	/**
	 * Handles a peer's reply to {@link FollowerAction.FetchFromPeer}.
	 * @param peer the peer
	 * @param reply its newest signed bundle in stored form, empty when it has none or did
	 * not reply
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<FollowerAction> onPeerReply(NetworkAddress peer, Optional<String> reply, long nowNanos) {
		List<FollowerAction> actions = new ArrayList<>();
		this.pendingPeers.remove(peer);
		Optional<String> usable = reply.filter((text) -> !isStaleDelta(text));
		boolean accepted = usable.isPresent() && accept(peer.toString(), usable.get(), actions);
		if (usable.isPresent() && !accepted) {
			this.refusedBundles.markSuspect(peer, nowNanos + nanos(this.settings.suspectPeerMillis()));
		}
		if (this.isStarting) {
			finishStartupFromPeers(actions);
			return withTimer(actions);
		}
		Optional<NetworkAddress> queued = this.queuedPeer.filter((next) -> this.queuedVersion > newestVersion());
		this.queuedPeer = Optional.empty();
		this.queuedVersion = 0;
		queued.ifPresentOrElse((next) -> fetchFromPeer(next, actions), () -> {
			if (!accepted) {
				beginScan(actions);
			}
		});
		return withTimer(actions);
	}

	/**
	 * Handles the expiry of the timer set by {@link FollowerAction.SetTimer}.
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<FollowerAction> onTimer(long nowNanos) {
		List<FollowerAction> actions = new ArrayList<>();
		openWatchIfDue(nowNanos, actions);
		if (nowNanos - this.pollAtNanos >= 0) {
			if (this.isStarting) {
				beginStartupRound(nowNanos, actions);
			}
			else {
				this.pollAtNanos = nextPollNanos(nowNanos);
				beginScan(actions);
			}
		}
		return withTimer(actions);
	}

	private void beginStartupRound(long nowNanos, List<FollowerAction> actions) {
		this.pollAtNanos = nowNanos + jitteredNanos(this.settings.startupRetryMillis());
		this.seedPeers.forEach((peer) -> fetchFromPeer(peer, actions));
		this.members.stream()
			.filter((vm) -> vm.dataCentre().equals(this.dataCentre) && !vm.name().equals(this.vmName))
			.forEach((vm) -> fetchFromPeer(vm.peerAddress(), actions));
		beginScan(actions);
	}

	private void beginScan(List<FollowerAction> actions) {
		if (!this.scan.isRunning()) {
			actions.add(this.scan.begin());
		}
	}

	private void endScan(boolean failed, long nowNanos, List<FollowerAction> actions) {
		this.scan.end();
		this.platformFailed = failed;
		if (!this.isStarting) {
			return;
		}
		if (failed) {
			finishStartupFromPeers(actions);
			return;
		}
		finishStartup(actions);
		this.pollAtNanos = nextPollNanos(nowNanos);
		openWatchIfDue(nowNanos, actions);
	}

	private void finishStartupFromPeers(List<FollowerAction> actions) {
		if (this.platformFailed && this.pendingPeers.isEmpty() && this.newest.isPresent()) {
			finishStartup(actions);
		}
	}

	private void finishStartup(List<FollowerAction> actions) {
		this.isStarting = false;
		this.newest.ifPresent((bundle) -> actions.add(new FollowerAction.PutInForce(bundle)));
	}

	private void acceptStored(StoredObject object, List<FollowerAction> actions) {
		this.storeRevision = StoreRevision.max(this.storeRevision, object.version());
		// Recorded even if refused, otherwise the scan would read the refused bundle
		// again and again.
		BundleKeys.rolledVersion(object.key()).ifPresent(this.scan::recordRolled);
		accept(PLATFORM_SOURCE, object.value(), actions);
	}

	private boolean accept(String source, String text, List<FollowerAction> actions) {
		Optional<SignedBundle> signed = BundleCodec.read(text, SignedBundle.class).or(() -> applyDelta(text));
		if (signed.isEmpty()) {
			reportRefused(source, "the signed bundle is malformed", actions);
			return false;
		}
		if (signed.get().version() <= newestVersion()) {
			return !isFork(source, signed.get(), actions);
		}
		Either<String, VerifiedBundle> verified = this.verifier.apply(signed.get());
		if (verified.isLeft()) {
			reportRefused(source, "version " + signed.get().version() + ": " + verified.getLeft(), actions);
			return false;
		}
		this.newest = Optional.of(verified.get());
		this.scan.recordRolled(signed.get().version());
		if (!this.isStarting) {
			actions.add(new FollowerAction.PutInForce(verified.get()));
		}
		return true;
	}

	private Optional<SignedBundle> applyDelta(String text) {
		return this.newest.map(VerifiedBundle::signed)
			.flatMap((base) -> BundleCodec.read(text, SignedDelta.class).flatMap((delta) -> delta.applyTo(base)));
	}

	// Another bundle was accepted between the request and the reply, so the delta no
	// longer applies. The peer is not at fault.
	private boolean isStaleDelta(String text) {
		return this.newest.map((bundle) -> bundle.signed().contentDigest())
			.flatMap((digest) -> BundleCodec.read(text, SignedDelta.class)
				.filter((delta) -> !delta.baseDigest().equals(digest)))
			.isPresent();
	}

	private boolean isFork(String source, SignedBundle signed, List<FollowerAction> actions) {
		boolean isFork = this.newest.map(VerifiedBundle::signed)
			.filter((current) -> current.version() == signed.version()
					&& !current.contentDigest().equals(signed.contentDigest()))
			.isPresent();
		if (isFork) {
			reportRefused(source,
					"version " + signed.version() + ": a bundle with different content was accepted before", actions);
		}
		return isFork;
	}

	private void reportRefused(String source, String reason, List<FollowerAction> actions) {
		actions
			.add(new FollowerAction.ReportRefused(source, reason, this.refusedBundles.recordRefusal(source, reason)));
	}

	private void fetchFromPeer(NetworkAddress peer, List<FollowerAction> actions) {
		if (this.pendingPeers.add(peer)) {
			actions.add(new FollowerAction.FetchFromPeer(peer));
		}
	}

	private void openWatchIfDue(long nowNanos, List<FollowerAction> actions) {
		if (this.isWatcher && !this.isWatching && !this.isStarting && nowNanos - this.watchAtNanos >= 0) {
			this.isWatching = true;
			actions.add(new FollowerAction.OpenWatch(this.storeRevision.number()));
			beginScan(actions);
		}
	}

	private List<FollowerAction> withTimer(List<FollowerAction> actions) {
		boolean isWatchPending = this.isWatcher && !this.isWatching && !this.isStarting;
		boolean isWatchFirst = isWatchPending && this.watchAtNanos - this.pollAtNanos < 0;
		actions.add(new FollowerAction.SetTimer(isWatchFirst ? this.watchAtNanos : this.pollAtNanos));
		return actions;
	}

	private long nextPollNanos(long nowNanos) {
		return nowNanos + jitteredNanos(
				this.isWatcher ? this.settings.watcherPollMillis() : this.settings.fallbackPollMillis());
	}

	private long jitteredNanos(long millis) {
		return (long) (nanos(millis) * (1 + JITTER_RATIO * (2 * this.random.nextDouble() - 1)));
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private long newestVersion() {
		return this.newest.map((bundle) -> bundle.signed().version()).orElse(0L);
	}

}
