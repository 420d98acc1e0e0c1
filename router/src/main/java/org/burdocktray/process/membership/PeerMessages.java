package org.burdocktray.process.membership;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.Heartbeat;
import org.burdocktray.connection.peer.generated.HeartbeatAck;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.connection.peer.generated.ProbeReply;
import org.burdocktray.connection.peer.generated.ProbeRequest;
import org.burdocktray.connection.peer.generated.Sync;

/**
 * Builds the messages of the membership protocol. Invariant: each message contains this
 * VM's own entry, so that the receiver can merge it and reply. Thread safety: none.
 */
final class PeerMessages {

	private final MembershipSettings settings;

	private final MemberTable table;

	private final GossipQueue queue;

	private final List<GossipTopic> topics;

	private final LongSupplier bundleVersion;

	PeerMessages(MembershipSettings settings, MemberTable table, GossipQueue queue, List<GossipTopic> topics,
			LongSupplier bundleVersion) {
		this.settings = settings;
		this.table = table;
		this.queue = queue;
		this.topics = topics;
		this.bundleVersion = bundleVersion;
	}

	PeerEnvelope heartbeat(Optional<Member> target) {
		return newEnvelope().setHeartbeat(Heartbeat.newBuilder().setGossip(buildGossip(target))).build();
	}

	PeerEnvelope heartbeatAck(Optional<Member> heartbeatSender) {
		return newEnvelope().setHeartbeatAck(HeartbeatAck.newBuilder().setGossip(buildGossip(heartbeatSender))).build();
	}

	PeerEnvelope probeRequest(Member target) {
		return newEnvelope()
			.setProbeRequest(ProbeRequest.newBuilder()
				.setTarget(MemberCodec.encode(target))
				.setGossip(buildGossip(Optional.empty())))
			.build();
	}

	PeerEnvelope probeReply(boolean reached) {
		return newEnvelope()
			.setProbeReply(ProbeReply.newBuilder().setReached(reached).setGossip(buildGossip(Optional.empty())))
			.build();
	}

	PeerEnvelope urgent(Gossip changes) {
		return newEnvelope().setHeartbeat(Heartbeat.newBuilder().setGossip(selfGossip().mergeFrom(changes))).build();
	}

	PeerEnvelope sync(long nowNanos) {
		Gossip.Builder all = this.table.toGossip().toBuilder();
		this.topics.forEach((topic) -> all.mergeFrom(topic.table(nowNanos)));
		return newEnvelope().setSync(Sync.newBuilder().setGossip(all)).build();
	}

	static Gossip extractGossip(PeerEnvelope envelope) {
		return switch (envelope.getBodyCase()) {
			case HEARTBEAT -> envelope.getHeartbeat().getGossip();
			case HEARTBEAT_ACK -> envelope.getHeartbeatAck().getGossip();
			case PROBE_REQUEST -> envelope.getProbeRequest().getGossip();
			case PROBE_REPLY -> envelope.getProbeReply().getGossip();
			case SYNC -> envelope.getSync().getGossip();
			default -> Gossip.getDefaultInstance();
		};
	}

	private PeerEnvelope.Builder newEnvelope() {
		Member self = this.table.self();
		return PeerEnvelope.newBuilder()
			.setSenderVm(self.name())
			.setSenderDataCentre(self.vm().dataCentre().name())
			.setSenderIncarnation(self.incarnation())
			.setBundleVersion(this.bundleVersion.getAsLong());
	}

	private Gossip.Builder selfGossip() {
		return Gossip.newBuilder().addMembers(MemberCodec.encode(this.table.self()));
	}

	private Gossip.Builder buildGossip(Optional<Member> receiver) {
		Gossip.Builder message = selfGossip();
		// Sending the receiver its entry lets it refute a wrong state immediately.
		receiver.filter((member) -> member.state() != MemberState.ALIVE)
			.ifPresent((member) -> message.addMembers(MemberCodec.encode(member)));
		return message.mergeFrom(this.queue.nextMessage(this.settings.maxPiggybackBytes(), this.table.memberCount()));
	}

}
