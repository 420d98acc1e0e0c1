package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.burdocktray.connection.http.MergedAnswer;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Verdict;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.forward.AttemptOutcome;
import org.burdocktray.request.forward.ForwardState;
import org.burdocktray.request.forward.ResponseTiming;
import org.burdocktray.request.path.LayerPath;
import org.jboss.logging.Logger;

/**
 * Logs the decisions on requests, each with the id of the request. Never logs a key, a
 * prompt or a body. Thread safety: stateless.
 */
final class RequestEventLog {

	private static final Logger LOGGER = Logger.getLogger(RequestEventLog.class);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int MAX_LOGGED_PARTS = 16;

	private static final int MAX_PART_CHARACTERS = 32;

	private RequestEventLog() {
	}

	static void logSent(AdmittedRequest admitted, Target target, ForwardState state) {
		LOGGER.infof("Request sent: request=%s content=%s parts=%s route=%s rules=%d replica=%s path=%s ranBefore=%s",
				requestId(admitted), admitted.identity().request().shortDigest(),
				formatParts(admitted.head().promptParts()), admitted.route().name(), admitted.rulesVersion(),
				target.replica().id(), formatPath(target.path()), state.verdict().wireName());
	}

	static void logAttemptFailed(AdmittedRequest admitted, Attempt failed, AttemptOutcome outcome, String cause,
			Optional<NetworkAddress> faultAddress) {
		LOGGER.infof("Attempt failed: request=%s replica=%s path=%s outcome=%s %s cause=%s faultAt=%s",
				requestId(admitted), failed.target().replica().id(), formatPath(failed.target().path()), outcome,
				failed.answerOrigin(), cause, faultAddress.map(NetworkAddress::toString).orElse(""));
	}

	static void logForeignAnswer(ForeignAnswer answer, String replicaId) {
		LOGGER.infof(
				"Answer of another request passed over: request=%s replica=%s server=%s connection=%d answerStatus=%d "
						+ "foundRequest=%s lateMillis=%d",
				answer.expectedId().map(AnswerOrigin::shorten).orElse(""), replicaId, answer.server(),
				answer.localPort(), answer.status(), answer.foundId(), answer.lateMillis());
	}

	static void logMergedAnswer(MergedAnswer answer, String replicaId) {
		LOGGER.infof(
				"Answer holds a part of another one: replica=%s server=%s connection=%d answerStatus=%d "
						+ "evidence=%s",
				replicaId, answer.server(), answer.localPort(), answer.status(),
				AnswerOrigin.shorten(answer.evidence()));
	}

	static void logSuccessorSent(AdmittedRequest admitted, Target silent, Target successor, String cause,
			long silentNanos) {
		LOGGER.infof("Successor sent: request=%s replica=%s path=%s silent=%s silentMillis=%d cause=%s",
				requestId(admitted), successor.replica().id(), formatPath(successor.path()), silent.replica().id(),
				silentNanos / NANOS_PER_MILLI, cause);
	}

	static void logHedgeSent(AdmittedRequest admitted, Target first, Target hedged, long delayNanos) {
		LOGGER.infof("Hedged run sent: request=%s replica=%s path=%s first=%s delayMillis=%d", requestId(admitted),
				hedged.replica().id(), formatPath(hedged.path()), first.replica().id(), delayNanos / NANOS_PER_MILLI);
	}

	static void logHedgeEnded(AdmittedRequest admitted, Target hedged, String result) {
		LOGGER.infof("Hedged run ended: request=%s replica=%s result=%s", requestId(admitted), hedged.replica().id(),
				result);
	}

	static void logRunKept(AdmittedRequest admitted, Target silent, String obstacle, long silentNanos) {
		LOGGER.infof("Silent run kept: request=%s replica=%s path=%s silentMillis=%d cause=%s", requestId(admitted),
				silent.replica().id(), formatPath(silent.path()), silentNanos / NANOS_PER_MILLI, obstacle);
	}

	static void logRunHandedOver(AdmittedRequest admitted, Target silent, Target successor, long silentNanos) {
		LOGGER.infof("Run handed over: request=%s replica=%s path=%s silent=%s silentMillis=%d", requestId(admitted),
				successor.replica().id(), formatPath(successor.path()), silent.replica().id(),
				silentNanos / NANOS_PER_MILLI);
	}

	static void logResponseNotWritten(int status, Throwable cause) {
		LOGGER.infof("Response not written: status=%d cause=%s", status, cause);
	}

	static void logInternalFault(Throwable cause) {
		LOGGER.error("Request failed by a fault of this program", cause);
	}

	static void logPathChanged(AdmittedRequest admitted, Target next, Replica failed,
			EngineControl.OrderResult result) {
		LOGGER.infof("Path changed: request=%s dead=%s path=%s answer=%s", requestId(admitted), failed.id(),
				formatPath(next.path()), result);
	}

	static void logEnded(AdmittedRequest admitted, int status, Verdict verdict, String cause, AnswerOrigin origin,
			ResponseTiming timing) {
		LOGGER.infof(
				"Request ended: request=%s route=%s organisation=%s rules=%d status=%d ran=%s millis=%d "
						+ "firstEventMillis=%s longestPauseMillis=%d silentMillis=%s %s cause=%s",
				requestId(admitted), admitted.route().name(), admitted.request().organisation().orElse(""),
				admitted.rulesVersion(), status, verdict.wireName(),
				(System.nanoTime() - timing.startNanos()) / NANOS_PER_MILLI, firstEventMillis(timing),
				timing.longestPauseNanos() / NANOS_PER_MILLI, formatMillis(timing.silentNanos(System.nanoTime())),
				origin, cause);
	}

	private static String firstEventMillis(ResponseTiming timing) {
		return formatMillis(timing.firstEventNanos());
	}

	private static String formatMillis(OptionalLong nanos) {
		return nanos.isPresent() ? String.valueOf(nanos.getAsLong() / NANOS_PER_MILLI) : "";
	}

	static void logRejected(Optional<String> requestId, int status, String cause) {
		LOGGER.infof("Request turned away: request=%s status=%d ran=no cause=%s", requestId.orElse(""), status, cause);
	}

	private static String requestId(AdmittedRequest admitted) {
		return admitted.head().requestId().orElse("");
	}

	private static String formatParts(List<String> parts) {
		return parts.stream()
			.limit(MAX_LOGGED_PARTS)
			.map((id) -> id.substring(0, Math.min(MAX_PART_CHARACTERS, id.length())))
			.collect(Collectors.joining(","));
	}

	private static String formatPath(Optional<LayerPath> path) {
		return path
			.map((layerPath) -> layerPath.stages()
				.stream()
				.map((stage) -> stage.replica().id() + "=" + stage.layers().from() + "-" + stage.layers().to())
				.collect(Collectors.joining(",")))
			.orElse("");
	}

}
