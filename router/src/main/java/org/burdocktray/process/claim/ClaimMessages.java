package org.burdocktray.process.claim;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.burdocktray.connection.peer.generated.ClaimAcquire;
import org.burdocktray.connection.peer.generated.ClaimAnswer;
import org.burdocktray.connection.peer.generated.ClaimBatchReply;
import org.burdocktray.connection.peer.generated.ClaimGranted;
import org.burdocktray.connection.peer.generated.ClaimNotRun;
import org.burdocktray.connection.peer.generated.ClaimOperation;
import org.burdocktray.connection.peer.generated.ClaimOutcomeUnknown;
import org.burdocktray.connection.peer.generated.ClaimRecorded;
import org.burdocktray.connection.peer.generated.ClaimRefused;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.model.Verdict;

/**
 * Converts claims and outcomes to and from the messages that VMs exchange. An unknown
 * kind of decision is decoded as no decision. Thread safety: stateless.
 */
final class ClaimMessages {

	private ClaimMessages() {
	}

	static org.burdocktray.connection.peer.generated.ClaimBatch encode(ClaimBatch batch) {
		var message = org.burdocktray.connection.peer.generated.ClaimBatch.newBuilder();
		for (ClaimProposal proposal : batch.claims()) {
			ClaimAcquire acquire = ClaimAcquire.newBuilder()
				.setRequestDigest(proposal.request().requestDigest())
				.setDeadlineMillis(proposal.request().deadlineMillis())
				.build();
			message.addOperations(newOperation(proposal.ticket()).setAcquire(acquire));
		}
		return message.build();
	}

	static org.burdocktray.connection.peer.generated.ClaimBatch encode(OutcomeBatch batch) {
		var message = org.burdocktray.connection.peer.generated.ClaimBatch.newBuilder();
		for (OutcomeBatch.TicketOutcome outcome : batch.outcomes()) {
			ClaimOperation.Builder operation = newOperation(outcome.ticket());
			if (outcome.outcome() instanceof ClaimOutcome.Completed completed) {
				operation.setAnswer(encode(completed.response()));
			}
			else if (outcome.outcome() instanceof ClaimOutcome.NotRun) {
				operation.setNotRun(ClaimNotRun.getDefaultInstance());
			}
			else {
				operation.setOutcomeUnknown(ClaimOutcomeUnknown.getDefaultInstance());
			}
			message.addOperations(operation);
		}
		return message.build();
	}

	static ClaimProposal decodeProposal(ClaimOperation operation, String senderVm) {
		ClaimRequest request = new ClaimRequest(operation.getOrganisation(), operation.getIdempotencyKey(),
				operation.getAcquire().getRequestDigest(), operation.getAcquire().getDeadlineMillis());
		return new ClaimProposal(operation.getClaimId(), senderVm, request);
	}

	static Optional<OutcomeBatch.TicketOutcome> decodeOutcome(ClaimOperation operation) {
		ClaimTicket ticket = new ClaimTicket(operation.getOrganisation(), operation.getIdempotencyKey(),
				operation.getClaimId());
		Optional<ClaimOutcome> outcome = switch (operation.getOperationCase()) {
			case ANSWER -> Optional.of(new ClaimOutcome.Completed(decode(operation.getAnswer())));
			case NOT_RUN -> Optional.of(new ClaimOutcome.NotRun());
			case OUTCOME_UNKNOWN -> Optional.of(new ClaimOutcome.OutcomeUnknown());
			default -> Optional.empty();
		};
		return outcome.map((decoded) -> new OutcomeBatch.TicketOutcome(ticket, decoded));
	}

	static ClaimBatchReply encodeDecisions(List<ClaimReply> replies) {
		ClaimBatchReply.Builder message = ClaimBatchReply.newBuilder();
		for (ClaimReply reply : replies) {
			var decision = org.burdocktray.connection.peer.generated.ClaimDecision.newBuilder()
				.setClaimId(reply.claimId());
			reply.decision().ifPresent((decided) -> encode(decided, decision));
			message.addDecisions(decision);
		}
		return message.build();
	}

	static ClaimBatchReply encodeDurable(List<String> claimIds) {
		ClaimBatchReply.Builder message = ClaimBatchReply.newBuilder();
		for (String claimId : claimIds) {
			message.addDecisions(org.burdocktray.connection.peer.generated.ClaimDecision.newBuilder()
				.setClaimId(claimId)
				.setRecorded(ClaimRecorded.newBuilder().setDurable(true)));
		}
		return message.build();
	}

	static ClaimBatch.Reply decodeDecisions(ClaimBatchReply message, ClaimBatch batch) {
		List<ClaimReply> replies = message.getDecisionsList()
			.stream()
			.map((decision) -> new ClaimReply(decision.getClaimId(), decode(decision, batch)))
			.toList();
		return new ClaimBatch.Reply(replies);
	}

	static OutcomeBatch.Reply decodeDurable(ClaimBatchReply message) {
		return new OutcomeBatch.Reply(message.getDecisionsList()
			.stream()
			.filter((decision) -> decision.getRecorded().getDurable())
			.map(org.burdocktray.connection.peer.generated.ClaimDecision::getClaimId)
			.toList());
	}

	private static ClaimOperation.Builder newOperation(ClaimTicket ticket) {
		return ClaimOperation.newBuilder()
			.setOrganisation(ticket.organisation())
			.setIdempotencyKey(ticket.idempotencyKey())
			.setClaimId(ticket.claimId());
	}

	private static void encode(ClaimDecision decision,
			org.burdocktray.connection.peer.generated.ClaimDecision.Builder message) {
		if (decision instanceof ClaimDecision.Granted) {
			message.setGranted(ClaimGranted.getDefaultInstance());
		}
		else if (decision instanceof ClaimDecision.Replay replay) {
			message.setReplay(encode(replay.response()));
		}
		else if (decision instanceof ClaimDecision.Refused refused) {
			message.setRefused(encode(refused.refusal()));
		}
	}

	private static Optional<ClaimDecision> decode(org.burdocktray.connection.peer.generated.ClaimDecision decision,
			ClaimBatch batch) {
		return switch (decision.getDecisionCase()) {
			case GRANTED -> batch.claims()
				.stream()
				.filter((proposal) -> proposal.claimId().equals(decision.getClaimId()))
				.findFirst()
				.map((proposal) -> new ClaimDecision.Granted(proposal.ticket()));
			case REPLAY -> Optional.of(new ClaimDecision.Replay(decode(decision.getReplay())));
			case REFUSED -> decode(decision.getRefused()).map(ClaimDecision.Refused::new);
			default -> Optional.empty();
		};
	}

	private static ClaimAnswer encode(RecordedResponse response) {
		return ClaimAnswer.newBuilder()
			.setHttpStatus(response.httpStatus())
			.setContentType(response.contentType())
			.setBody(response.body())
			.setBodyKept(response.bodyKept())
			.build();
	}

	private static RecordedResponse decode(ClaimAnswer message) {
		return new RecordedResponse(message.getHttpStatus(), message.getContentType(), message.getBody(),
				message.getBodyKept());
	}

	private static ClaimRefused encode(Refusal refusal) {
		ClaimRefused.Builder message = ClaimRefused.newBuilder()
			.setReason(refusal.reason().problemType())
			.setRan(refusal.verdict().wireName())
			.setDetail(refusal.detail());
		refusal.retryAfterMillis().ifPresent(message::setRetryAfterMillis);
		return message.build();
	}

	private static Optional<Refusal> decode(ClaimRefused message) {
		Optional<RefusalReason> reason = Arrays.stream(RefusalReason.values())
			.filter((value) -> value.problemType().equals(message.getReason()))
			.findFirst();
		Optional<Verdict> verdict = Arrays.stream(Verdict.values())
			.filter((value) -> value.wireName().equals(message.getRan()))
			.findFirst();
		OptionalLong retryAfterMillis = message.hasRetryAfterMillis() ? OptionalLong.of(message.getRetryAfterMillis())
				: OptionalLong.empty();
		return reason.flatMap((decodedReason) -> verdict.map(
				(decodedVerdict) -> new Refusal(decodedVerdict, decodedReason, message.getDetail(), retryAfterMillis)));
	}

}
