package org.burdocktray.process.serve;

import java.security.SecureRandom;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.burdocktray.connection.peer.PeerConnections;
import org.burdocktray.connection.peer.PeerRequester;
import org.burdocktray.connection.peer.PeerServer;
import org.burdocktray.connection.peer.PeerTransportLimits;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.Vm;
import org.burdocktray.process.membership.GossipTopic;
import org.burdocktray.process.membership.HigherVersionListener;
import org.burdocktray.process.membership.Member;
import org.burdocktray.process.membership.Membership;
import org.burdocktray.process.membership.MembershipLoop;
import org.burdocktray.process.membership.MembershipSettings;
import org.burdocktray.process.settings.Settings;

/**
 * Peer network endpoint of this VM: sends peer messages, handles received ones and runs
 * the membership loop. Thread safety: {@link #start} and {@link #stop} must be called
 * once each, by one thread; all other methods are safe for use by multiple threads.
 */
final class PeerNetwork {

	private static final int EVENT_LOOPS = 1;

	private final EventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOPS);

	private final PeerTransportLimits limits = PeerTransportLimits.defaults();

	private final PeerConnections connections = new PeerConnections(this.eventLoops, this.limits);

	private final Settings settings;

	private final Vm self;

	private final long incarnation;

	private final LongSupplier bundleVersion;

	private final MembershipLoop loop;

	private PeerServer server;

	/**
	 * Creates the endpoint without starting it.
	 * @param settings the settings of this VM
	 * @param incarnation a number higher than that of any earlier process with the same
	 * VM name
	 * @param topics further topics that gossip disseminates in addition to the members
	 * @param bundleVersion supplies the bundle version in force on this VM
	 * @param higherVersions notified of peers that have a higher bundle version
	 */
	PeerNetwork(Settings settings, long incarnation, List<GossipTopic> topics, LongSupplier bundleVersion,
			HigherVersionListener higherVersions) {
		this.settings = settings;
		this.self = new Vm(settings.vmName(), settings.dataCentre(), settings.peerAddress());
		this.incarnation = incarnation;
		this.bundleVersion = bundleVersion;
		Membership membership = new Membership(MembershipSettings.defaults(), this.self, incarnation,
				settings.seedPeers(), topics, bundleVersion, new SecureRandom(), System.nanoTime());
		this.loop = new MembershipLoop(membership, this.connections, higherVersions, Schedulers.computation(),
				System::nanoTime);
	}

	/**
	 * Starts listening for peers and starts the membership loop.
	 * @param claims handles batches of forwarded claims
	 * @param bundles handles bundle requests
	 */
	void start(RequestHandler claims, RequestHandler bundles) {
		this.server = PeerServer.start(this.eventLoops, this.settings.peerAddress().ip(),
				this.settings.peerAddress().port(), this.limits, (request) -> dispatch(request, claims, bundles));
		this.loop.start();
	}

	void stop() {
		this.loop.dispose();
		if (this.server != null) {
			this.server.close();
		}
		this.connections.close();
		this.eventLoops.shutdownGracefully();
	}

	MembershipLoop membership() {
		return this.loop;
	}

	PeerRequester requester() {
		return this.connections;
	}

	/**
	 * Returns the VMs that are alive in the local membership view.
	 * @return the VMs, starting with this one
	 */
	List<Vm> aliveVms() {
		Stream<Vm> others = this.loop.view().aliveOthers().stream().map(Member::vm);
		return Stream.concat(Stream.of(this.self), others).toList();
	}

	PeerEnvelope.Builder newEnvelope() {
		return PeerEnvelope.newBuilder()
			.setSenderVm(this.self.name())
			.setSenderDataCentre(this.self.dataCentre().name())
			.setSenderIncarnation(this.incarnation)
			.setBundleVersion(this.bundleVersion.getAsLong());
	}

	private Single<PeerEnvelope> dispatch(PeerEnvelope request, RequestHandler claims, RequestHandler bundles) {
		return switch (request.getBodyCase()) {
			case CLAIM_BATCH -> claims.handle(request, newEnvelope());
			case BUNDLE_REQUEST -> bundles.handle(request, newEnvelope());
			default -> this.loop.handle(request);
		};
	}

	/** Handles one kind of peer request. */
	@FunctionalInterface
	interface RequestHandler {

		/**
		 * Handles a request.
		 * @param request the request
		 * @param reply the builder of the reply, with the sender fields set
		 * @return the reply
		 */
		Single<PeerEnvelope> handle(PeerEnvelope request, PeerEnvelope.Builder reply);

	}

}
