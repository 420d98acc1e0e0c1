package org.burdocktray.process.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;

/**
 * Detects which VMs are alive and propagates changes with the SWIM protocol. In each
 * period one random VM is probed, directly and then through other VMs. A VM that does not
 * respond is suspected; if it does not refute the suspicion in time, it is marked as
 * dead. Changes are piggybacked on these messages. Dead VMs are contacted again, so that
 * the end of a network partition is detected.
 *
 * Invariants: at most one probe target at a time; the number of messages sent per period
 * does not depend on the number of VMs; no safety property depends on this class. Thread
 * safety: none; must be used by one thread at a time. The same events, times and random
 * generator result in the same actions.
 */
public final class Membership {

	private static final int MAX_TICK_GAP_PERIODS = 3;

	private static final int MIN_SYNC_INTERVAL_PERIODS = 10;

	private final MembershipSettings settings;

	private final List<NetworkAddress> seeds;

	private final List<GossipTopic> topics;

	private final LongSupplier bundleVersion;

	private final RandomGenerator random;

	private final MemberTable table;

	private final PeerSelection peerSelection;

	private final GossipQueue queue = new GossipQueue();

	private final PeerMessages messages;

	private final Map<Long, OutstandingRequest> outstanding = new HashMap<>();

	private Optional<String> probeTarget = Optional.empty();

	private long lastToken;

	private long lastTickNanos;

	private long nextPeriodNanos;

	private long nextSyncNanos;

	private long lastSyncNanos;

	/**
	 * Creates the protocol state. The protocol starts with the first tick.
	 * @param settings the periods and limits
	 * @param self this VM
	 * @param incarnation higher than that of an earlier process under the same name, such
	 * as the start time
	 * @param seeds the addresses contacted to join the other VMs
	 * @param topics the data propagated in addition to the members
	 * @param bundleVersion returns the bundle version in force on this VM
	 * @param random the source of randomness
	 * @param nowNanos the time
	 */
	public Membership(MembershipSettings settings, Vm self, long incarnation, List<NetworkAddress> seeds,
			List<GossipTopic> topics, LongSupplier bundleVersion, RandomGenerator random, long nowNanos) {
		this.settings = settings;
		this.seeds = List.copyOf(seeds);
		this.topics = List.copyOf(topics);
		this.bundleVersion = bundleVersion;
		this.random = random;
		this.table = new MemberTable(settings, new Member(self, incarnation, MemberState.ALIVE));
		this.peerSelection = new PeerSelection(this.table, random);
		this.messages = new PeerMessages(settings, this.table, this.queue, this.topics, bundleVersion);
		this.lastTickNanos = nowNanos;
		this.lastSyncNanos = nowNanos - settings.syncNanos();
		// A random phase prevents VMs that start together from probing in lockstep.
		this.nextPeriodNanos = nowNanos + random.nextLong(settings.periodNanos());
		this.nextSyncNanos = nowNanos + random.nextLong(settings.syncNanos());
	}

	/**
	 * Performs the steps that are due. Must be called several times per period.
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<PeerAction> tick(long nowNanos) {
		if (nowNanos - this.lastTickNanos > MAX_TICK_GAP_PERIODS * this.settings.periodNanos()) {
			cancelProbe();
			this.table.restartSuspicions(nowNanos);
		}
		this.lastTickNanos = nowNanos;
		List<PeerAction> actions = new ArrayList<>(propagateLocalChanges(nowNanos));
		this.table.expireSuspicions(nowNanos).forEach(this::enqueue);
		if (nowNanos - this.nextPeriodNanos >= 0) {
			this.nextPeriodNanos = nowNanos + this.settings.periodNanos();
			startPeriod(nowNanos, actions);
		}
		return actions;
	}

	/**
	 * Collects the local changes of the topics and sends the urgent ones immediately. To
	 * be called after a change on this VM that must not wait for the next tick.
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<PeerAction> propagateLocalChanges(long nowNanos) {
		List<GossipItem> changes = new ArrayList<>();
		this.topics.forEach((topic) -> changes.addAll(topic.takeLocalChanges(nowNanos)));
		return propagate(changes, this.table.self().name());
	}

	/**
	 * Handles a request from another VM.
	 * @param inboundId identifies the request in its {@link PeerAction.Reply}
	 * @param request a heartbeat, probe request or sync
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<PeerAction> onRequest(long inboundId, PeerEnvelope request, long nowNanos) {
		List<PeerAction> actions = mergeEnvelope(request, nowNanos);
		switch (request.getBodyCase()) {
			case HEARTBEAT -> actions.add(new PeerAction.Reply(inboundId,
					this.messages.heartbeatAck(this.table.find(request.getSenderVm()))));
			case SYNC -> actions.add(new PeerAction.Reply(inboundId, this.messages.sync(nowNanos)));
			case PROBE_REQUEST -> relayProbe(inboundId, request, actions);
			default -> {
				// Other kinds of requests are handled elsewhere.
			}
		}
		return actions;
	}

	/**
	 * Handles a reply.
	 * @param token the request's token
	 * @param reply the reply
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<PeerAction> onReply(long token, PeerEnvelope reply, long nowNanos) {
		OutstandingRequest request = this.outstanding.remove(token);
		List<PeerAction> actions = mergeEnvelope(reply, nowNanos);
		if (request instanceof OutstandingRequest.Relay relay) {
			actions.add(new PeerAction.Reply(relay.inboundId(), this.messages.probeReply(true)));
		}
		if (request instanceof OutstandingRequest.Probe probe && (probe.direct() || reply.getProbeReply().getReached())
				&& this.probeTarget.equals(Optional.of(probe.targetName()))) {
			this.probeTarget = Optional.empty();
		}
		return actions;
	}

	/**
	 * Handles a request that received no reply.
	 * @param token the request's token
	 * @param nowNanos the time
	 * @return the actions to perform
	 */
	public List<PeerAction> onFailure(long token, long nowNanos) {
		OutstandingRequest request = this.outstanding.remove(token);
		if (request instanceof OutstandingRequest.Relay relay) {
			return List.of(new PeerAction.Reply(relay.inboundId(), this.messages.probeReply(false)));
		}
		if (request instanceof OutstandingRequest.Probe probe && probe.direct()
				&& this.probeTarget.equals(Optional.of(probe.targetName()))) {
			return probeIndirectly(probe.targetName());
		}
		return List.of();
	}

	/**
	 * Handles the platform's list. The list adds VMs to contact and prevents dead VMs
	 * from being removed. It never marks a VM as dead, because it lags behind.
	 * @param liveVms the entry VMs that the platform lists as live
	 * @param nowNanos the time
	 */
	public void onPlatformList(List<Vm> liveVms, long nowNanos) {
		this.table.updateListedVms(liveVms, nowNanos);
	}

	/**
	 * Announces that this VM is shutting down.
	 * @return the actions to perform
	 */
	public List<PeerAction> leave() {
		return propagate(List.of(MemberCodec.toGossipItem(this.table.markLeaving())), this.table.self().name());
	}

	/**
	 * Returns the members in this VM's local view.
	 * @return an immutable copy
	 */
	public MembershipView view() {
		return this.table.view();
	}

	private void startPeriod(long nowNanos, List<PeerAction> actions) {
		this.probeTarget.flatMap((name) -> this.table.markSuspect(name, nowNanos)).ifPresent(this::enqueue);
		cancelProbe();
		List<Member> candidates = this.table.findActive((member) -> true);
		if (!candidates.isEmpty()) {
			startProbe(this.peerSelection.pickOne(candidates), actions);
		}
		boolean isAlone = candidates.isEmpty();
		if (isAlone || this.random.nextInt(this.settings.reconnectPeriods()) == 0) {
			reconnect(actions, nowNanos);
		}
		if (!isAlone && nowNanos - this.nextSyncNanos >= 0) {
			startSync(this.peerSelection.pickOne(candidates).vm().peerAddress(), nowNanos, actions);
		}
	}

	private void cancelProbe() {
		this.probeTarget = Optional.empty();
		this.outstanding.values().removeIf(OutstandingRequest.Probe.class::isInstance);
	}

	private void startProbe(Member target, List<PeerAction> actions) {
		this.probeTarget = Optional.of(target.name());
		actions.add(createRequest(target.vm().peerAddress(), this.messages.heartbeat(Optional.of(target)),
				new OutstandingRequest.Probe(target.name(), true), this.settings.probeTimeoutMillis()));
	}

	private List<PeerAction> probeIndirectly(String targetName) {
		Optional<Member> target = this.table.find(targetName);
		if (target.isEmpty()) {
			return List.of();
		}
		List<PeerAction> actions = new ArrayList<>();
		this.peerSelection.pickSeveral(this.settings.indirectProbes(), targetName)
			.forEach((relay) -> actions
				.add(createRequest(relay.vm().peerAddress(), this.messages.probeRequest(target.get()),
						new OutstandingRequest.Probe(targetName, false), this.settings.indirectTimeoutMillis())));
		return actions;
	}

	private void relayProbe(long inboundId, PeerEnvelope request, List<PeerAction> actions) {
		Optional<Member> target = MemberCodec.decode(request.getProbeRequest().getTarget());
		if (target.isEmpty()) {
			actions.add(new PeerAction.Reply(inboundId, this.messages.probeReply(false)));
			return;
		}
		Optional<Member> current = this.table.find(target.get().name());
		actions.add(createRequest(target.get().vm().peerAddress(), this.messages.heartbeat(current),
				new OutstandingRequest.Relay(inboundId), this.settings.probeTimeoutMillis()));
	}

	private void reconnect(List<PeerAction> actions, long nowNanos) {
		List<NetworkAddress> addresses = this.table.reconnectAddresses(this.seeds);
		if (!addresses.isEmpty()) {
			NetworkAddress address = addresses.get(this.random.nextInt(addresses.size()));
			boolean isJoining = this.table.memberCount() == 1;
			PeerEnvelope envelope = isJoining ? this.messages.sync(nowNanos)
					: this.messages.heartbeat(this.table.findByAddress(address));
			actions.add(createRequest(address, envelope, new OutstandingRequest.BestEffort(),
					this.settings.probeTimeoutMillis()));
		}
	}

	private void startSync(NetworkAddress peer, long nowNanos, List<PeerAction> actions) {
		this.lastSyncNanos = nowNanos;
		this.nextSyncNanos = nowNanos + this.settings.syncNanos();
		actions.add(createRequest(peer, this.messages.sync(nowNanos), new OutstandingRequest.BestEffort(),
				this.settings.periodMillis()));
	}

	private List<PeerAction> mergeEnvelope(PeerEnvelope envelope, long nowNanos) {
		List<PeerAction> actions = new ArrayList<>();
		String senderName = envelope.getSenderVm();
		boolean wasDead = this.table.find(senderName)
			.filter((member) -> member.state() == MemberState.DEAD)
			.isPresent();
		Gossip gossip = PeerMessages.extractGossip(envelope);
		List<GossipItem> items = new ArrayList<>();
		gossip.getMembersList()
			.stream()
			.flatMap((wire) -> MemberCodec.decode(wire).stream())
			.flatMap((member) -> this.table.merge(member, nowNanos).stream())
			.forEach((member) -> items.add(MemberCodec.toGossipItem(member)));
		this.topics.forEach((topic) -> items.addAll(topic.merge(gossip, nowNanos)));
		actions.addAll(propagate(items, senderName));
		Optional<Member> sender = this.table.find(senderName);
		if (wasDead && envelope.getBodyCase() != PeerEnvelope.BodyCase.SYNC && isSyncAllowed(nowNanos)) {
			startSync(sender.get().vm().peerAddress(), nowNanos, actions);
		}
		if (envelope.getBundleVersion() > this.bundleVersion.getAsLong()) {
			sender.map((member) -> new PeerAction.FetchBundle(member.vm().peerAddress(), envelope.getBundleVersion()))
				.ifPresent(actions::add);
		}
		return actions;
	}

	private boolean isSyncAllowed(long nowNanos) {
		return nowNanos - this.lastSyncNanos >= MIN_SYNC_INTERVAL_PERIODS * this.settings.periodNanos();
	}

	private List<PeerAction> propagate(List<GossipItem> items, String exceptName) {
		items.forEach(this.queue::add);
		Gossip.Builder urgent = Gossip.newBuilder();
		items.stream().filter(GossipItem::urgent).forEach((item) -> urgent.mergeFrom(item.fragment()));
		Gossip changes = urgent.build();
		int bytes = changes.getSerializedSize();
		// A full synchronisation can bring many changes, which are then sent with
		// heartbeats.
		if (bytes == 0 || bytes > this.settings.maxUrgentBytes()) {
			return List.of();
		}
		PeerEnvelope envelope = this.messages.urgent(changes);
		return this.peerSelection.pickSeveral(this.settings.urgentFanout(), exceptName)
			.stream()
			.map((peer) -> createRequest(peer.vm().peerAddress(), envelope, new OutstandingRequest.BestEffort(),
					this.settings.probeTimeoutMillis()))
			.toList();
	}

	private void enqueue(Member member) {
		this.queue.add(MemberCodec.toGossipItem(member));
	}

	private PeerAction createRequest(NetworkAddress peer, PeerEnvelope envelope, OutstandingRequest request,
			long timeoutMillis) {
		long token = ++this.lastToken;
		this.outstanding.put(token, request);
		return new PeerAction.Request(token, peer, envelope, timeoutMillis);
	}

}
