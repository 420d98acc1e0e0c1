package org.burdocktray.process.serve.gateway;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.burdocktray.process.relay.OfferWait;

/**
 * Finds out after the loss of a run whether what it was sent to is gone: a replica that
 * has ended or is cut off, or a VM that relayed the run and does not offer to relay any
 * more, since it has ended or is cut off as well. Thread safety: confined to one event
 * loop.
 */
final class LostTargetCheck {

	private final GatewayContext context;

	private final String healthPath;

	LostTargetCheck(GatewayContext context, String healthPath) {
		this.context = context;
		this.healthPath = healthPath;
	}

	/**
	 * Checks the target of a lost run.
	 * @param target the target
	 * @return whether it is gone
	 */
	Single<Boolean> isGone(Target target) {
		// Asking for relays would say that this VM is cut off.
		if (target.isForPressure()) {
			return Single.just(false);
		}
		if (target.isRelay()) {
			return stillRelays(target).map((offers) -> !offers);
		}
		return this.context.crashes()
			.findUnresponsive(List.of(target.replica()), this.healthPath)
			.map((unresponsive) -> !unresponsive.isEmpty());
	}

	private Single<Boolean> stillRelays(Target target) {
		this.context.relays().askAgain(target.replica());
		return Single.create((emitter) -> this.context.vertx()
			.setTimer(OfferWait.REPLY_MILLIS,
					(timer) -> emitter.onSuccess(this.context.relays().hasOffer(target.replica()))));
	}

}
