package org.burdocktray.connection.engine;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.burdocktray.version.bundle.Engine;

/**
 * A client of the engines. Thread safety: implementations can be called from any thread.
 */
public interface EngineClient {

	/**
	 * Starts an attempt of a stream. The flow completes after {@link EngineEvent.Done},
	 * {@link EngineEvent.StageFailed}, {@link EngineEvent.Refused} or
	 * {@link EngineEvent.HeadFailed} and never terminates with an error signal. Disposing
	 * the subscription cancels the attempt at all stages.
	 * @param request the attempt
	 * @return the events of the attempt
	 */
	Flowable<EngineEvent> startAttempt(AttemptRequest request);

	/**
	 * Fetches the load report of an engine.
	 * @param engine the engine
	 * @param timeoutMillis the timeout of the call
	 * @return the report, {@link EngineLoad#unreachable()} if there is no response in
	 * time
	 */
	Single<EngineLoad> fetchLoad(Engine engine, long timeoutMillis);

}
