package org.burdocktray.request.stream;

import java.util.List;

import org.burdocktray.connection.engine.StreamOrder;
import org.burdocktray.model.Refusal;
import org.burdocktray.version.bundle.Engine;

/**
 * What a {@link StreamSession} wants done. Thread safety: immutable.
 */
public sealed interface StreamAction {

	/**
	 * Start an attempt at the head engine. It supersedes the attempt before it, whose
	 * connection is closed only once the new attempt has answered: closing it earlier
	 * could reach the engines first and make them drop the state that the new attempt
	 * goes on with.
	 *
	 * @param order the attempt
	 */
	record StartAttempt(StreamOrder order) implements StreamAction {

	}

	/**
	 * Cancel the last attempt; its later events are ignored.
	 *
	 * @param attempt the number of the attempt
	 */
	record CancelAttempt(int attempt) implements StreamAction {

	}

	/**
	 * Ask the stages of an attempt whether they still answer.
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
	 * Note that an upstream failed while it ran this stream.
	 *
	 * @param upstreamName the name of the upstream
	 * @param crashed whether a connection to it broke while it ran this stream; false
	 * when it was merely silent or out of reach
	 */
	record ReportUpstreamFailure(String upstreamName, boolean crashed) implements StreamAction {

	}

	/**
	 * Note that an upstream refused the stream because it takes no new work.
	 *
	 * @param upstreamName the name of the upstream
	 */
	record ReportUpstreamLeaving(String upstreamName) implements StreamAction {

	}

	/**
	 * Hand a token to the caller.
	 *
	 * @param position the position among the generated tokens, from 0
	 * @param text the token's text
	 */
	record Deliver(int position, String text) implements StreamAction {

	}

	/**
	 * End the answer: it is whole.
	 *
	 * @param finishReason {@code stop} or {@code length}
	 * @param promptTokens the number of tokens in the prompt
	 * @param completionTokens the number of tokens generated
	 */
	record Complete(String finishReason, int promptTokens, int completionTokens) implements StreamAction {

	}

	/**
	 * End the answer with an error.
	 *
	 * @param refusal the error
	 * @param deliveredTokens the tokens the caller has
	 */
	record Fail(Refusal refusal, int deliveredTokens) implements StreamAction {

	}

}
