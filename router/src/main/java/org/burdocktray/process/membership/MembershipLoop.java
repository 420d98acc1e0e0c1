package org.burdocktray.process.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import org.burdocktray.connection.peer.PeerRequestHandler;
import org.burdocktray.connection.peer.PeerRequester;
import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.Vm;
import org.jboss.logging.Logger;

/**
 * Runs a {@link Membership} with the clock and the messages of other VMs. Invariant: the
 * membership and its topics are used by one worker only. Thread safety: all methods can
 * be called from any thread; {@link #view()} never blocks.
 */
public final class MembershipLoop implements PeerRequestHandler, Disposable {

	private static final Logger LOGGER = Logger.getLogger(MembershipLoop.class);

	private static final long TICK_MILLIS = 100;

	private final Membership membership;

	private final PeerRequester peers;

	private final HigherVersionListener versionListener;

	// RxJava schedulers report the wall-clock time, which can jump.
	private final LongSupplier nanoClock;

	private final Scheduler.Worker worker;

	private final AtomicReference<MembershipView> view;

	private final Map<Long, SingleEmitter<PeerEnvelope>> inboundRequests = new HashMap<>();

	private long lastInboundId;

	/**
	 * Creates a loop that is not started.
	 * @param membership the protocol state; must be used only by this loop from now on
	 * @param peers sends the requests
	 * @param versionListener notified of higher bundle versions
	 * @param scheduler provides the worker
	 * @param nanoClock the monotonic clock, such as {@link System#nanoTime()}
	 */
	public MembershipLoop(Membership membership, PeerRequester peers, HigherVersionListener versionListener,
			Scheduler scheduler, LongSupplier nanoClock) {
		this.membership = membership;
		this.peers = peers;
		this.versionListener = versionListener;
		this.nanoClock = nanoClock;
		this.worker = scheduler.createWorker();
		this.view = new AtomicReference<>(membership.view());
	}

	/**
	 * Starts probing other VMs.
	 */
	public void start() {
		this.worker.schedulePeriodically(() -> runGuarded(() -> perform(this.membership.tick(nowNanos()))), TICK_MILLIS,
				TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the members as of the last event.
	 * @return an immutable view
	 */
	public MembershipView view() {
		return this.view.get();
	}

	/**
	 * Returns the time of the clock that the membership and its topics use.
	 * @return the time in nanoseconds
	 */
	public long nowNanos() {
		return this.nanoClock.getAsLong();
	}

	/**
	 * Runs a change of a topic on the loop's worker and propagates the result.
	 * @param change receives the time in nanoseconds
	 */
	public void submit(LongConsumer change) {
		execute(() -> {
			long nowNanos = nowNanos();
			change.accept(nowNanos);
			perform(this.membership.propagateLocalChanges(nowNanos));
		});
	}

	/**
	 * Handles the platform's list of entry VMs.
	 * @param liveVms the VMs listed as live
	 */
	public void onPlatformList(List<Vm> liveVms) {
		execute(() -> this.membership.onPlatformList(liveVms, nowNanos()));
	}

	/**
	 * Announces that this VM is shutting down.
	 */
	public void leave() {
		execute(() -> perform(this.membership.leave()));
	}

	@Override
	public Single<PeerEnvelope> handle(PeerEnvelope request) {
		return Single.create((reply) -> execute(() -> {
			long inboundId = ++this.lastInboundId;
			this.inboundRequests.put(inboundId, reply);
			reply.setCancellable(() -> execute(() -> this.inboundRequests.remove(inboundId)));
			perform(this.membership.onRequest(inboundId, request, nowNanos()));
		}));
	}

	@Override
	public void dispose() {
		this.worker.dispose();
	}

	@Override
	public boolean isDisposed() {
		return this.worker.isDisposed();
	}

	private void execute(Runnable event) {
		this.worker.schedule(() -> runGuarded(event));
	}

	// An exception in one event must not end the loop.
	private void runGuarded(Runnable event) {
		try {
			event.run();
			this.view.set(this.membership.view());
		}
		catch (RuntimeException ex) {
			LOGGER.errorf(ex, "Membership event failed");
		}
	}

	private void perform(List<PeerAction> actions) {
		for (PeerAction action : actions) {
			if (action instanceof PeerAction.Request request) {
				send(request);
			}
			else if (action instanceof PeerAction.Reply reply) {
				reply(reply);
			}
			else if (action instanceof PeerAction.FetchBundle fetch) {
				this.versionListener.onHigherVersion(fetch.peer(), fetch.version());
			}
		}
	}

	private void send(PeerAction.Request request) {
		this.peers.request(request.peer(), request.envelope(), request.timeoutMillis())
			.subscribe(
					(outcome) -> execute(() -> perform(
							outcome.fold((error) -> this.membership.onFailure(request.token(), nowNanos()),
									(reply) -> this.membership.onReply(request.token(), reply, nowNanos())))),
					(failure) -> execute(() -> perform(this.membership.onFailure(request.token(), nowNanos()))));
	}

	private void reply(PeerAction.Reply reply) {
		SingleEmitter<PeerEnvelope> emitter = this.inboundRequests.remove(reply.inboundId());
		if (emitter != null) {
			emitter.onSuccess(reply.envelope());
		}
	}

}
