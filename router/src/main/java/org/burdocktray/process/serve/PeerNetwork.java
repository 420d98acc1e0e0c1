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
import org.burdocktray.process.membership.BundleSource;
import org.burdocktray.process.membership.GossipTopic;
import org.burdocktray.process.membership.Member;
import org.burdocktray.process.membership.Membership;
import org.burdocktray.process.membership.MembershipLoop;
import org.burdocktray.process.membership.MembershipSettings;
import org.burdocktray.process.settings.Settings;

/**
 * This VM among the others: sends and answers peer messages and drives the membership.
 * Thread safety: start and stop are called once each, from one thread; all else is safe
 * from any thread.
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
	 * Creates the network; it is not started.
	 * @param settings the settings of this VM
	 * @param incarnation higher than that of an earlier process under the same name
	 * @param topics what is spread beside the members
	 * @param bundleVersion gives the bundle version in force here
	 * @param higherVersions told of higher bundle versions
	 */
	PeerNetwork(Settings settings, long incarnation, List<GossipTopic> topics, LongSupplier bundleVersion,
			BundleSource higherVersions) {
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
	 * Listens and starts to probe.
	 * @param claims answers forwarded claims
	 * @param bundles answers requests for bundles
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
	 * The VMs believed alive, this one among them.
	 * @return the VMs
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

	/** Answers one kind of request. */
	@FunctionalInterface
	interface RequestHandler {

		/**
		 * Answers a request.
		 * @param request the request
		 * @param reply an envelope with the sender filled in
		 * @return the reply
		 */
		Single<PeerEnvelope> handle(PeerEnvelope request, PeerEnvelope.Builder reply);

	}

}
