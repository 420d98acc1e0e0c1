package org.burdocktray.process.membership;

import java.util.Optional;

import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;

/**
 * Converts members between their record and their wire format. Thread safety: stateless.
 */
final class MemberCodec {

	private static final int MAX_PORT = 65535;

	private MemberCodec() {
	}

	static org.burdocktray.connection.peer.generated.Member encode(Member member) {
		NetworkAddress address = member.vm().peerAddress();
		return org.burdocktray.connection.peer.generated.Member.newBuilder()
			.setName(member.name())
			.setDataCentre(member.vm().dataCentre().name())
			.setIp(address.ip())
			.setPort(address.port())
			.setIncarnation(member.incarnation())
			.setStateValue(member.state().ordinal())
			.build();
	}

	static Optional<Member> decode(org.burdocktray.connection.peer.generated.Member wire) {
		int state = wire.getStateValue();
		boolean isValid = !wire.getName().isEmpty() && wire.getPort() >= 1 && wire.getPort() <= MAX_PORT && state >= 0
				&& state < MemberState.values().length;
		if (!isValid) {
			return Optional.empty();
		}
		Vm vm = new Vm(wire.getName(), new DataCentre(wire.getDataCentre()),
				new NetworkAddress(wire.getIp(), wire.getPort()));
		return Optional.of(new Member(vm, wire.getIncarnation(), MemberState.values()[state]));
	}

	static GossipItem toGossipItem(Member member) {
		Gossip fragment = Gossip.newBuilder().addMembers(encode(member)).build();
		return new GossipItem("member/" + member.name(), fragment, member.state() == MemberState.LEAVING);
	}

}
