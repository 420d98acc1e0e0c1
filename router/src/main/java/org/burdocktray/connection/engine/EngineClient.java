package org.burdocktray.connection.engine;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.burdocktray.version.bundle.Engine;

/**
 * Talks to model engines. Thread safety: implementations can be called from any thread.
 */
public interface EngineClient {

	/**
	 * Starts an attempt. The flow ends after {@link EngineEvent.Done},
	 * {@link EngineEvent.StageFailed}, {@link EngineEvent.Refused} or
	 * {@link EngineEvent.HeadFailed}, never with an error signal. Disposing it cancels
	 * the attempt at all stages.
	 * @param order the attempt
	 * @return its events
	 */
	Flowable<EngineEvent> startAttempt(AttemptRequest order);

	/**
	 * Asks an engine for its load.
	 * @param engine the engine
	 * @param timeoutMillis how long to wait
	 * @return the report; {@link EngineLoad#unreachable()} when there is no answer in
	 * time
	 */
	Single<EngineLoad> fetchLoad(Engine engine, long timeoutMillis);

}
