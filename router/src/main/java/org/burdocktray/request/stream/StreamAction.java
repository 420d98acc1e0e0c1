package org.burdocktray.request.stream;

import java.util.List;

import org.burdocktray.connection.engine.AttemptRequest;
import org.burdocktray.model.Refusal;
import org.burdocktray.version.bundle.Engine;

/**
 * An action requested by a {@link StreamSession}. Thread safety: immutable.
 */
public sealed interface StreamAction {

	/**
	 * Start an attempt at the head engine. It supersedes the previous attempt, whose
	 * connection is closed only after the first event that shows that the new attempt has
	 * reached the engines: an earlier close could reach them before the new attempt and
	 * make them drop the state that it continues from, and a refusal of the new attempt
	 * can lead to {@link ResumeAttempt}.
	 *
	 * @param request the attempt
	 */
	record StartAttempt(AttemptRequest request) implements StreamAction {

	}

	/**
	 * Resume a superseded attempt, whose successor ended before it reached the engines.
	 * The connection of the attempt is still open.
	 *
	 * @param attempt the number of the attempt
	 * @param stages its stages
	 */
	record ResumeAttempt(int attempt, List<Engine> stages) implements StreamAction {

		public ResumeAttempt {
			stages = List.copyOf(stages);
		}

	}

	/**
	 * Cancel the last attempt. Its later events are ignored.
	 *
	 * @param attempt the number of the attempt
	 */
	record CancelAttempt(int attempt) implements StreamAction {

	}

	/**
	 * Probe whether the stages of an attempt still respond.
	 *
	 * @param attempt the number of the attempt
	 * @param stages the stages
	 */
	record ProbeStages(int attempt, List<Engine> stages) implements StreamAction {

		public ProbeStages {
			stages = List.copyOf(stages);
		}

	}

	/**
	 * Report that an upstream failed while it ran this stream.
	 *
	 * @param upstreamName the name of the upstream
	 * @param crashed whether a connection to it broke while it ran this stream; false if
	 * it was unresponsive or unreachable
	 */
	record ReportUpstreamFailure(String upstreamName, boolean crashed) implements StreamAction {

	}

	/**
	 * Report that an upstream refused the stream because it accepts no new work.
	 *
	 * @param upstreamName the name of the upstream
	 */
	record ReportUpstreamLeaving(String upstreamName) implements StreamAction {

	}

	/**
	 * Deliver a token to the caller.
	 *
	 * @param position the position among the generated tokens, from 0
	 * @param text the text of the token
	 */
	record Deliver(int position, String text) implements StreamAction {

	}

	/**
	 * End the response, which is complete.
	 *
	 * @param finishReason {@code stop} or {@code length}
	 * @param promptTokens the number of tokens in the prompt
	 * @param completionTokens the number of tokens generated
	 */
	record Complete(String finishReason, int promptTokens, int completionTokens) implements StreamAction {

	}

	/**
	 * End the response with an error.
	 *
	 * @param refusal the error
	 * @param deliveredTokens the number of tokens that the caller has received
	 */
	record Fail(Refusal refusal, int deliveredTokens) implements StreamAction {

	}

}
