package org.burdocktray.process.claim;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.burdocktray.connection.peer.generated.ClaimBatchReply;
import org.burdocktray.connection.peer.generated.ClaimOperation;

/**
 * Handles the claims and outcomes that other VMs forward to this one. Thread safety: can
 * be called from any thread.
 */
public final class ForwardedClaimHandler {

	private final StoreClaimRegistry registry;

	private final int shardCount;

	/**
	 * Creates a handler.
	 * @param registry the registry that commits the claims
	 * @param shardCount the number of shard objects
	 */
	public ForwardedClaimHandler(StoreClaimRegistry registry, int shardCount) {
		this.registry = registry;
		this.shardCount = shardCount;
	}

	/**
	 * Handles a batch.
	 * @param batch the claims or outcomes
	 * @param senderVm the name of the VM that sent the batch
	 * @return the reply to the sender
	 */
	public Single<ClaimBatchReply> handle(org.burdocktray.connection.peer.generated.ClaimBatch batch, String senderVm) {
		Map<Integer, List<ClaimOperation>> byShard = batch.getOperationsList()
			.stream()
			.collect(Collectors.groupingBy(this::shardOf));
		return Flowable.fromIterable(byShard.entrySet())
			.flatMapSingle((entry) -> handle(entry.getKey(), entry.getValue(), senderVm))
			.collect(ClaimBatchReply::newBuilder, ClaimBatchReply.Builder::mergeFrom)
			.map(ClaimBatchReply.Builder::build);
	}

	private Single<ClaimBatchReply> handle(int shard, List<ClaimOperation> operations, String senderVm) {
		List<ClaimProposal> claims = operations.stream()
			.filter(ClaimOperation::hasAcquire)
			.map((operation) -> ClaimMessages.decodeProposal(operation, senderVm))
			.toList();
		List<OutcomeBatch.TicketOutcome> outcomes = operations.stream()
			.map(ClaimMessages::decodeOutcome)
			.flatMap(Optional::stream)
			.toList();
		if (claims.isEmpty()) {
			return this.registry.acceptOutcomes(new OutcomeBatch(shard, outcomes))
				.map((reply) -> ClaimMessages.encodeDurable(reply.durableClaimIds()));
		}
		return this.registry.acceptClaims(new ClaimBatch(shard, claims))
			.map((reply) -> ClaimMessages.encodeDecisions(reply.replies()));
	}

	private int shardOf(ClaimOperation operation) {
		return new ClaimKey(operation.getOrganisation(), operation.getIdempotencyKey()).shard(this.shardCount);
	}

}
