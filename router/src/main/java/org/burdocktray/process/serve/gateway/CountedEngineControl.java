package org.burdocktray.process.serve.gateway;

import java.util.OptionalLong;
import java.util.function.BiConsumer;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.path.LayerPath;

/**
 * Counts the calls to engines against the limits that they name, and makes none within a
 * pause that an engine asks for. Thread safety: that of the calls it passes on.
 */
final class CountedEngineControl implements EngineControl {

	private final EngineControl control;

	private final LimitedReplicas limits;

	CountedEngineControl(EngineControl control, LimitedReplicas limits) {
		this.control = control;
		this.limits = limits;
	}

	@Override
	public void setResponseListener(BiConsumer<Replica, ResponseHead> listener) {
		this.control.setResponseListener(listener);
	}

	@Override
	public Single<Either<String, LoadReport>> requestReport(Replica engine) {
		if (this.limits.isPaused(engine)) {
			return Single.just(Either.left("engine asks for a pause"));
		}
		this.limits.recordRequest(engine);
		return this.control.requestReport(engine);
	}

	@Override
	public Single<OrderResult> orderLayers(Replica engine, LayerRange layers, long expectedSequence,
			OptionalLong fencingNumber) {
		if (this.limits.isPaused(engine)) {
			return Single.just(OrderResult.REFUSED);
		}
		this.limits.recordRequest(engine);
		return this.control.orderLayers(engine, layers, expectedSequence, fencingNumber);
	}

	@Override
	public Single<OrderResult> orderPath(String requestId, LayerPath path) {
		if (this.limits.isPaused(path.head())) {
			return Single.just(OrderResult.REFUSED);
		}
		this.limits.recordRequest(path.head());
		return this.control.orderPath(requestId, path);
	}

}
