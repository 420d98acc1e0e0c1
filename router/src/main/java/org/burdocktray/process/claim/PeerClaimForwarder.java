package org.burdocktray.process.claim;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Maybe;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.PeerError;
import org.burdocktray.connection.peer.PeerRequester;
import org.burdocktray.connection.peer.generated.ClaimBatchReply;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.Vm;

/**
 * Forwards claims to the VM that rendezvous hashing selects among the VMs that are alive
 * in this VM's local view. Thread safety: can be called from any thread; the list of VMs
 * is read again for each batch.
 */
public final class PeerClaimForwarder implements ClaimForwarder {

	private final String selfName;

	private final Supplier<List<Vm>> aliveVms;

	private final PeerRequester peerRequester;

	private final Supplier<PeerEnvelope.Builder> envelopeFactory;

	private final long timeoutMillis;

	/**
	 * Creates a forwarder.
	 * @param selfName the name of this VM
	 * @param aliveVms supplies the VMs that are alive in this VM's local view, including
	 * this VM
	 * @param peerRequester the client for requests to other VMs
	 * @param envelopeFactory creates envelopes with this VM's name and version set
	 * @param timeoutMillis the timeout of a request to the preferred VM
	 */
	public PeerClaimForwarder(String selfName, Supplier<List<Vm>> aliveVms, PeerRequester peerRequester,
			Supplier<PeerEnvelope.Builder> envelopeFactory, long timeoutMillis) {
		this.selfName = selfName;
		this.aliveVms = aliveVms;
		this.peerRequester = peerRequester;
		this.envelopeFactory = envelopeFactory;
		this.timeoutMillis = timeoutMillis;
	}

	@Override
	public boolean prefersPeer(int shard) {
		return preferredPeer(shard).isPresent();
	}

	@Override
	public Maybe<ClaimBatch.Reply> forwardClaims(ClaimBatch batch) {
		return send(batch.shard(), this.envelopeFactory.get().setClaimBatch(ClaimMessages.encode(batch)).build())
			.map((reply) -> ClaimMessages.decodeDecisions(reply, batch));
	}

	@Override
	public Maybe<OutcomeBatch.Reply> forwardOutcomes(OutcomeBatch batch) {
		return send(batch.shard(), this.envelopeFactory.get().setClaimBatch(ClaimMessages.encode(batch)).build())
			.map(ClaimMessages::decodeDurable);
	}

	private Optional<Vm> preferredPeer(int shard) {
		List<Vm> alive = this.aliveVms.get();
		return ShardPreference.preferred(shard, alive.stream().map(Vm::name).toList())
			.filter((name) -> !name.equals(this.selfName))
			.flatMap((name) -> alive.stream().filter((vm) -> vm.name().equals(name)).findFirst());
	}

	private Maybe<ClaimBatchReply> send(int shard, PeerEnvelope request) {
		Optional<Vm> peer = preferredPeer(shard);
		if (peer.isEmpty()) {
			return Maybe.empty();
		}
		return this.peerRequester.request(peer.get().peerAddress(), request, this.timeoutMillis)
			.flatMapMaybe(PeerClaimForwarder::toReply);
	}

	private static Maybe<ClaimBatchReply> toReply(Either<PeerError, PeerEnvelope> result) {
		if (result.isLeft() && result.getLeft() == PeerError.NOT_SENT) {
			return Maybe.empty();
		}
		if (result.isRight() && result.get().hasClaimBatchReply()) {
			return Maybe.just(result.get().getClaimBatchReply());
		}
		return Maybe.error(new LostReplyException());
	}

}
