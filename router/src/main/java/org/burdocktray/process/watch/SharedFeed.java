package org.burdocktray.process.watch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vavr.control.Either;
import org.burdocktray.connection.peer.generated.WatchAnswer;
import org.burdocktray.connection.peer.generated.WatchRequest;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.Confirmation;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.burdocktray.process.restore.StoreEras;
import org.jboss.logging.Logger;

/**
 * Gets objects from the store, or from a VM that watches it. Invariants: an answer of
 * another VM is used only if it is an answer to the request, if its revision is at least
 * the one known here in the latest era of the store, and with the age that its sender
 * states counted from the sending of the request; only answers of the store itself are
 * recorded for other VMs. Thread safety: none, confined to one event loop.
 */
final class SharedFeed implements ChangeFeed {

	private static final Logger LOGGER = Logger.getLogger(SharedFeed.class);

	/**
	 * The time of a watcher's call to the store beyond its wait. A request that ended
	 * before would get the confirmation of the call before.
	 */
	private static final long ANSWER_MARGIN_MILLIS = 200;

	/** A watcher answers at once then. */
	private static final long NO_WAIT = 0;

	private final ChangeFeed store;

	private final Map<String, WatchedKind> kinds = new HashMap<>();

	private final DataCentre localDataCentre;

	private final WatchSources sources;

	private final FollowerAnswers answers;

	private final StoreEras eras;

	private final WatchCalls calls;

	private final Supplier<Timestamp> clock;

	private final Timers timers;

	private final RandomGenerator random;

	private final WatchListener listener;

	private final Map<String, StoreRevision> revisions = new HashMap<>();

	private final Map<String, WatchSource> lastSources = new HashMap<>();

	private final Map<String, WatchSource> answeringSources = new HashMap<>();

	/**
	 * The kinds whose last call has failed, at all sources or since changes were missed.
	 */
	private final Set<String> unservedKinds = new HashSet<>();

	SharedFeed(ChangeFeed store, List<WatchedKind> kinds, DataCentre localDataCentre, WatchSources sources,
			FollowerAnswers answers, StoreEras eras, WatchCalls calls, Supplier<Timestamp> clock, Timers timers,
			RandomGenerator random, WatchListener listener) {
		this.store = store;
		kinds.forEach((kind) -> this.kinds.put(kind.name(), kind));
		this.localDataCentre = localDataCentre;
		this.sources = sources;
		this.answers = answers;
		this.eras = eras;
		this.calls = calls;
		this.clock = clock;
		this.timers = timers;
		this.random = random;
		this.listener = listener;
	}

	boolean has(String kind) {
		return this.kinds.containsKey(kind);
	}

	@Override
	public Single<Either<StoreError, ObjectListing>> listObjects(String kind) {
		return Single.create((emitter) -> next(new ListingCall(kind, emitter)));
	}

	@Override
	public Single<Either<StoreError, ObjectChanges>> awaitChanges(String kind, StoreRevision afterRevision,
			long waitMillis) {
		if (afterRevision.era() < this.eras.current()) {
			return Single.just(Either.left(StoreError.NOT_FOUND));
		}
		return Single.create((emitter) -> next(new ChangesCall(kind, emitter, afterRevision, waitMillis)));
	}

	/**
	 * Lists the objects of a kind from the store, for other VMs.
	 * @param kind the kind
	 */
	void listForOthers(String kind) {
		Timestamp sentAt = this.clock.get();
		this.store.listObjects(kind).subscribe((result) -> {
			recordStoreResult(kind, result.isRight() || result.getLeft() == StoreError.NOT_FOUND);
			result.peek((listing) -> this.answers.recordListing(kind, listing, sentAt))
				.peekLeft((error) -> this.answers.recordFailure(kind));
		});
	}

	/**
	 * Returns whether the next call goes to the store.
	 * @return false if it goes to another VM
	 */
	boolean callsStoreNext() {
		return this.sources.callsStoreFirst(nowNanos());
	}

	/**
	 * Records the result of a call to the store.
	 * @param kind the kind of the objects
	 * @param isAnswered whether the store has answered
	 */
	void recordStoreResult(String kind, boolean isAnswered) {
		this.listener.onCall(kind, "store", isAnswered ? "ok" : "failed");
		if (isAnswered) {
			this.sources.recordAnswer(WatchSource.STORE, nowNanos());
		}
		else {
			this.sources.recordFailure(WatchSource.STORE, nowNanos());
		}
	}

	private void next(Call<?> call) {
		Optional<WatchSources.Selection> selection = this.sources.next(call.tried, nowNanos());
		if (selection.isEmpty()) {
			call.fail(StoreError.UNAVAILABLE);
			return;
		}
		WatchSource source = selection.get().source();
		if (selection.get().delayMillis() > 0) {
			this.timers.schedule(selection.get().delayMillis(), () -> run(call, source));
			return;
		}
		run(call, source);
	}

	// A watcher that did not serve the last call is asked for an answer at once, which
	// shows sooner whether it is alive and has the objects.
	private void run(Call<?> call, WatchSource source) {
		call.tried.add(source);
		WatchSource previous = this.lastSources.put(call.kind, source);
		if (source.isStore()) {
			call.callStore();
			return;
		}
		boolean asksAtOnce = this.unservedKinds.contains(call.kind) || call.tried.size() > 1
				|| (previous != null && !previous.equals(source));
		long pauseMillis = asksAtOnce ? 0 : call.pauseMillis(this.kinds.get(call.kind));
		long waitMillis = asksAtOnce ? NO_WAIT : this.kinds.get(call.kind).waitMillis();
		if (pauseMillis > 0) {
			this.timers.schedule(pauseMillis, () -> ask(call, source, waitMillis));
			return;
		}
		ask(call, source, waitMillis);
	}

	private void ask(Call<?> call, WatchSource source, long kindWaitMillis) {
		WatchedKind kind = this.kinds.get(call.kind);
		boolean atOnce = kindWaitMillis == NO_WAIT;
		long waitMillis = atOnce ? NO_WAIT : kindWaitMillis + ANSWER_MARGIN_MILLIS;
		WatchRequest.Builder request = WatchRequest.newBuilder()
			.setRequestId(this.random.nextLong())
			.setKind(call.kind)
			.setWaitMillis((int) waitMillis)
			.setMaxAgeMillis((int) kind.maxAgeMillis())
			.setAtOnce(atOnce);
		StoreRevision minRevision = call.minRevision();
		request.setListing(call.isListing()).setAfterRevision(minRevision.number());
		if (this.eras.isKnown()) {
			request.setAfterEra(minRevision.era());
			boolean isPresentEra = minRevision.era() == this.eras.current();
			request.setAfterEraAgeMillis(isPresentEra ? this.eras.ageMillis() : 0);
		}
		WatchRequest sent = request.build();
		Timestamp sentAt = this.clock.get();
		this.calls.ask(source.watcher().orElseThrow().address(), sent, waitMillis + kind.bounds().probeMillis(),
				(answer) -> handleAnswer(call, source, sent, sentAt, answer));
	}

	private <T> void handleAnswer(Call<T> call, WatchSource source, WatchRequest request, Timestamp sentAt,
			Optional<WatchAnswer> received) {
		Optional<WatchAnswer> answer = received.filter((found) -> found.getRequestId() == request.getRequestId());
		answer.filter(WatchAnswer::hasEra)
			.ifPresent((found) -> this.eras.record(found.getEra(), found.getEraAgeMillis()));
		WatchAnswer.Status status = answer.map(WatchAnswer::getStatus).orElse(WatchAnswer.Status.STATUS_UNKNOWN);
		switch (status) {
			case STATUS_OK -> handleContent(call, source, request.getAtOnce(), sentAt, answer.get());
			case STATUS_HISTORY_GONE -> {
				recordCall(call, source, "gap");
				this.sources.recordAnswer(source, nowNanos());
				call.fail(StoreError.NOT_FOUND);
			}
			case STATUS_STORE_UNAVAILABLE -> {
				recordCall(call, source, "store_lost");
				this.sources.recordStoreLost(source, nowNanos());
				next(call);
			}
			case STATUS_BEHIND -> {
				recordCall(call, source, "behind");
				if (request.getAtOnce()) {
					ask(call, source, this.kinds.get(call.kind).waitMillis());
					return;
				}
				this.sources.recordBehind(source, nowNanos());
				next(call);
			}
			case STATUS_DECLINED -> {
				// A VM that has just started declines until it knows the others.
				recordCall(call, source, "declined");
				this.sources.recordBehind(source, nowNanos());
				next(call);
			}
			default -> handleFailure(call, source);
		}
	}

	private <T> void handleContent(Call<T> call, WatchSource source, boolean isAtOnce, Timestamp sentAt,
			WatchAnswer answer) {
		StoreRevision revision = new StoreRevision(era(answer), answer.getRevision());
		if (revision.era() > call.minRevision().era() && !call.isListing()) {
			recordCall(call, source, "gap");
			call.fail(StoreError.NOT_FOUND);
			return;
		}
		boolean isStepBack = revision.era() < this.eras.current() || revision.isBefore(call.minRevision());
		Optional<List<ObjectChange>> content = isStepBack ? Optional.empty()
				: WatchCodec.decode(answer.getContent(), revision.era());
		if (content.isEmpty() || answer.getAgeMillis() < 0) {
			handleFailure(call, source);
			return;
		}
		recordCall(call, source, "ok");
		logSource(call, source);
		this.sources.recordAnswer(source, nowNanos());
		// A call that failed elsewhere would otherwise be repeated without a pause.
		long remainingMillis = call.remainingMillis(this.kinds.get(call.kind));
		if (isAtOnce && call.tried.size() > 1 && remainingMillis > 0 && call.isQuiet(content.get())) {
			ask(call, source, remainingMillis);
			return;
		}
		if (!this.sources.isWatcher(nowNanos())) {
			this.answers.clear(call.kind);
		}
		this.listener.onConfirmation(call.kind, this.clock.get().millisSince(sentAt) + answer.getAgeMillis());
		this.revisions.put(call.kind, revision);
		Timestamp confirmedAt = sentAt.minusMillis(answer.getAgeMillis());
		call.succeed(call.toResult(content.get(), revision, confirmation(call, confirmedAt, true)));
	}

	private long era(WatchAnswer answer) {
		return answer.hasEra() ? answer.getEra() : this.eras.eraOfOlderBuilds();
	}

	// What is confirmed later than a time counts as later by the clock that shows less.
	private static Confirmation confirmation(Call<?> call, Timestamp confirmedAt, boolean isPassedOn) {
		return new Confirmation(-confirmedAt.minMillisSince(call.startedAt), isPassedOn);
	}

	private void logSource(Call<?> call, WatchSource source) {
		WatchSource previous = this.answeringSources.put(call.kind, source);
		if (previous != null && !previous.equals(source)) {
			LOGGER.infof("Objects come from another source: kind=%s from=%s before=%s", call.kind, source, previous);
		}
	}

	private void handleFailure(Call<?> call, WatchSource source) {
		recordCall(call, source, "failed");
		this.sources.recordFailure(source, nowNanos());
		next(call);
	}

	private void recordCall(Call<?> call, WatchSource source, String result) {
		boolean isLocal = source.watcher().filter((vm) -> vm.dataCentre().equals(this.localDataCentre)).isPresent();
		this.listener.onCall(call.kind, isLocal ? "watcher" : "remote_watcher", result);
	}

	private long nowNanos() {
		return this.clock.get().monotonicNanos();
	}

	/**
	 * One call of the consumer, which may need several sources. Thread safety: none.
	 *
	 * @param <T> the type of the result
	 */
	private abstract class Call<T> {

		private final String kind;

		private final SingleEmitter<Either<StoreError, T>> emitter;

		private final List<WatchSource> tried = new ArrayList<>();

		private final Timestamp startedAt = SharedFeed.this.clock.get();

		Call(String kind, SingleEmitter<Either<StoreError, T>> emitter) {
			this.kind = kind;
			this.emitter = emitter;
		}

		String kind() {
			return this.kind;
		}

		void fail(StoreError error) {
			SharedFeed.this.unservedKinds.add(this.kind);
			this.emitter.onSuccess(Either.left(error));
		}

		void succeed(T result) {
			SharedFeed.this.unservedKinds.remove(this.kind);
			this.emitter.onSuccess(Either.right(result));
		}

		/**
		 * Returns the part of the wait that has not passed since the call began.
		 * @param kind the kind of the objects
		 * @return milliseconds, not positive if the wait has passed
		 */
		long remainingMillis(WatchedKind kind) {
			return kind.waitMillis() - SharedFeed.this.clock.get().millisSince(this.startedAt);
		}

		/**
		 * Returns whether an answer brings nothing new.
		 * @param content the content of the answer
		 * @return whether the call may go on
		 */
		boolean isQuiet(List<ObjectChange> content) {
			return false;
		}

		StoreRevision minRevision() {
			StoreRevision known = SharedFeed.this.revisions.getOrDefault(this.kind, StoreRevision.NONE);
			return StoreRevision.max(known, new StoreRevision(SharedFeed.this.eras.current(), 0));
		}

		/**
		 * Handles an answer of the store.
		 * @param result the answer
		 * @param recording records the answer for other VMs, if there is one, and returns
		 * it with its confirmation
		 */
		void handleStoreResult(Either<StoreError, T> result, UnaryOperator<T> recording) {
			boolean isAnswered = result.isRight() || result.getLeft() == StoreError.NOT_FOUND;
			recordStoreResult(this.kind, isAnswered);
			if (!isAnswered) {
				SharedFeed.this.answers.recordFailure(this.kind);
				next(this);
				return;
			}
			logSource(this, WatchSource.STORE);
			SharedFeed.this.unservedKinds.remove(this.kind);
			if (this.tried.size() > 1) {
				SharedFeed.this.sources.recordFallback(nowNanos());
			}
			this.emitter.onSuccess(result.map(recording));
		}

		void recordRevision(StoreRevision revision) {
			SharedFeed.this.revisions.put(this.kind, revision);
		}

		Optional<Confirmation> confirmation(Timestamp confirmedAt) {
			return Optional.of(SharedFeed.confirmation(this, confirmedAt, false));
		}

		abstract void callStore();

		abstract boolean isListing();

		/**
		 * Returns how long to pause before a watcher is asked.
		 * @param kind the kind of the objects
		 * @return milliseconds, 0 for no pause
		 */
		long pauseMillis(WatchedKind kind) {
			return 0;
		}

		abstract T toResult(List<ObjectChange> content, StoreRevision revision, Confirmation confirmation);

	}

	/**
	 * A call for all objects. Thread safety: none.
	 */
	private final class ListingCall extends Call<ObjectListing> {

		ListingCall(String kind, SingleEmitter<Either<StoreError, ObjectListing>> emitter) {
			super(kind, emitter);
		}

		@Override
		void callStore() {
			Timestamp sentAt = SharedFeed.this.clock.get();
			boolean isShared = SharedFeed.this.sources.isActive();
			SharedFeed.this.store.listObjects(kind()).subscribe((result) -> handleStoreResult(result, (listing) -> {
				recordRevision(listing.revision());
				if (!isShared) {
					return listing;
				}
				SharedFeed.this.answers.recordListing(kind(), listing, sentAt);
				return new ObjectListing(listing.objects(), listing.revision(), confirmation(sentAt));
			}));
		}

		@Override
		boolean isListing() {
			return true;
		}

		@Override
		ObjectListing toResult(List<ObjectChange> content, StoreRevision revision, Confirmation confirmation) {
			return new ObjectListing(content.stream().map(ObjectChange::object).toList(), revision,
					Optional.of(confirmation));
		}

	}

	/**
	 * A call for changes. Thread safety: none.
	 */
	private final class ChangesCall extends Call<ObjectChanges> {

		private final StoreRevision afterRevision;

		private final long waitMillis;

		ChangesCall(String kind, SingleEmitter<Either<StoreError, ObjectChanges>> emitter, StoreRevision afterRevision,
				long waitMillis) {
			super(kind, emitter);
			this.afterRevision = afterRevision;
			this.waitMillis = waitMillis;
		}

		@Override
		void callStore() {
			Timestamp sentAt = SharedFeed.this.clock.get();
			boolean isShared = SharedFeed.this.sources.isActive();
			long currentWaitMillis = isShared
					? Math.min(this.waitMillis, SharedFeed.this.kinds.get(kind()).waitMillis()) : this.waitMillis;
			if (isShared) {
				FollowerBounds bounds = SharedFeed.this.kinds.get(kind()).bounds();
				SharedFeed.this.answers.recordCall(kind(), currentWaitMillis + bounds.overdueMillis(currentWaitMillis));
			}
			SharedFeed.this.store.awaitChanges(kind(), this.afterRevision, currentWaitMillis)
				.subscribe((result) -> handleStoreResult(result, (changes) -> {
					recordRevision(changes.revision());
					if (!isShared) {
						return changes;
					}
					Timestamp confirmedAt = confirmedAt(changes, sentAt, currentWaitMillis);
					SharedFeed.this.answers.recordChanges(kind(), this.afterRevision, changes, confirmedAt);
					return new ObjectChanges(changes.changes(), changes.revision(), confirmation(confirmedAt));
				}));
		}

		private Timestamp confirmedAt(ObjectChanges changes, Timestamp sentAt, long waitedMillis) {
			return changes.changes().isEmpty() ? sentAt.confirmedByWait(waitedMillis, SharedFeed.this.clock.get())
					: sentAt;
		}

		@Override
		StoreRevision minRevision() {
			return this.afterRevision;
		}

		@Override
		boolean isListing() {
			return false;
		}

		@Override
		boolean isQuiet(List<ObjectChange> content) {
			return content.isEmpty();
		}

		@Override
		long pauseMillis(WatchedKind kind) {
			return kind.pauseMillis(this.waitMillis);
		}

		@Override
		ObjectChanges toResult(List<ObjectChange> content, StoreRevision revision, Confirmation confirmation) {
			return new ObjectChanges(content, revision, Optional.of(confirmation));
		}

	}

}
