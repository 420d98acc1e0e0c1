package org.burdocktray.process.watch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.burdocktray.connection.peer.generated.WatchAnswer;
import org.burdocktray.connection.peer.generated.WatchAnswer.Status;
import org.burdocktray.connection.peer.generated.WatchRequest;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.burdocktray.process.restore.StoreEras;

/**
 * Answers the requests of other VMs from what this VM has from the store itself. A
 * request waits for the next answer of the store, but no longer than it asks for.
 * Invariants: each request is answered once; no answer holds what this VM has from
 * another VM, or what is of an earlier era of the store than this VM knows; the number of
 * waiting requests is bounded. Thread safety: none, confined to one event loop.
 */
public final class FollowerAnswers {

	/** More than the VMs of a data centre, each with a request for each kind. */
	private static final int MAX_WAITING = 4_096;

	private static final long MAX_WAIT_MILLIS = 15_000;

	private static final int MAX_CACHED_CONTENTS = 8;

	private final Map<String, ChangeLog> logs = new HashMap<>();

	private final Set<Waiting> waiting = new LinkedHashSet<>();

	private final Set<String> listings = new HashSet<>();

	private final Map<ContentKey, Optional<ByteString>> contents = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<ContentKey, Optional<ByteString>> eldest) {
			return size() > MAX_CACHED_CONTENTS;
		}
	};

	private final WatchSources sources;

	private final StoreEras eras;

	private final Supplier<Timestamp> clock;

	private final Timers timers;

	private final WatchListener listener;

	private final Consumer<String> lister;

	/**
	 * Creates an instance without any objects.
	 * @param kinds the kinds that are answered
	 * @param sources learns that this VM was asked
	 * @param eras the eras of the store
	 * @param clock reads the clocks
	 * @param timers ends the wait of requests
	 * @param lister lists the objects of a kind from the store, and records them here
	 * @param listener counts the answers
	 */
	FollowerAnswers(StoreSharing.Kinds kinds, WatchSources sources, StoreEras eras, Supplier<Timestamp> clock,
			Timers timers, Consumer<String> lister, WatchListener listener) {
		kinds.confirmed().forEach((kind) -> this.logs.put(kind.name(), new ChangeLog(true, clock)));
		kinds.hints().forEach((kind) -> this.logs.put(kind.name(), new ChangeLog(false, clock)));
		this.sources = sources;
		this.eras = eras;
		this.clock = clock;
		this.timers = timers;
		this.lister = lister;
		this.listener = listener;
		eras.addListener(() -> this.logs.values().forEach(ChangeLog::clear));
	}

	/**
	 * Answers a request, at once or later.
	 * @param request the request of another VM
	 * @param response receives the answer once
	 */
	public void handle(WatchRequest request, Consumer<WatchAnswer> response) {
		if (request.hasAfterEra()) {
			this.eras.record(request.getAfterEra(), request.getAfterEraAgeMillis());
		}
		ChangeLog log = this.logs.get(request.getKind());
		if (log == null || !this.sources.isActive() || this.waiting.size() >= MAX_WAITING) {
			respond(request, response, Status.STATUS_DECLINED);
			return;
		}
		long nowNanos = this.clock.get().monotonicNanos();
		this.sources.recordAsked(nowNanos);
		if (needsListing(log, request)) {
			if (!this.sources.mayCallStore(nowNanos)) {
				if (request.getAtOnce() || isTooOld(log, request)) {
					respond(request, response, Status.STATUS_STORE_UNAVAILABLE);
				}
				else {
					await(request, response);
				}
				return;
			}
			if (request.getAtOnce()) {
				respond(request, response, Status.STATUS_BEHIND);
			}
			else {
				await(request, response);
			}
			if (this.listings.add(request.getKind())) {
				this.lister.accept(request.getKind());
			}
			return;
		}
		Status status = status(log, request);
		boolean isNews = (request.getListing() && status == Status.STATUS_OK) || status == Status.STATUS_HISTORY_GONE
				|| (status == Status.STATUS_OK && !log.changesAfter(afterRevision(request)).isEmpty());
		if (isNews || request.getAtOnce()) {
			respond(request, response, status);
			return;
		}
		await(request, response);
	}

	private boolean needsListing(ChangeLog log, WatchRequest request) {
		if (log.isStoreLost()) {
			return false;
		}
		return isTooOld(log, request)
				|| (request.getListing() && (!log.isComplete() || log.revision().isBefore(afterRevision(request))));
	}

	private void await(WatchRequest request, Consumer<WatchAnswer> response) {
		Waiting waitingRequest = new Waiting(request, response);
		this.waiting.add(waitingRequest);
		long waitMillis = Math.min(MAX_WAIT_MILLIS, Integer.toUnsignedLong(request.getWaitMillis()));
		this.timers.schedule(Math.max(1, waitMillis), () -> {
			if (this.waiting.remove(waitingRequest)) {
				respond(request, response, status(this.logs.get(request.getKind()), request));
			}
		});
	}

	private Status status(ChangeLog log, WatchRequest request) {
		if (log.isStoreLost()) {
			return Status.STATUS_STORE_UNAVAILABLE;
		}
		if (isTooOld(log, request) || log.revision().isBefore(afterRevision(request))
				|| (request.getListing() && !log.isComplete())) {
			return Status.STATUS_BEHIND;
		}
		boolean isServed = request.getListing() || log.hasChangesAfter(afterRevision(request));
		return isServed ? Status.STATUS_OK : Status.STATUS_HISTORY_GONE;
	}

	private StoreRevision afterRevision(WatchRequest request) {
		long era = request.hasAfterEra() ? request.getAfterEra() : this.eras.eraOfOlderBuilds();
		return new StoreRevision(era, request.getAfterRevision());
	}

	private boolean isTooOld(ChangeLog log, WatchRequest request) {
		return log.ageMillis(this.clock.get()) > maxAgeMillis(request);
	}

	private static long maxAgeMillis(WatchRequest request) {
		return Integer.toUnsignedLong(request.getMaxAgeMillis());
	}

	private void respond(WatchRequest request, Consumer<WatchAnswer> response, Status status) {
		WatchAnswer.Builder answer = WatchAnswer.newBuilder().setRequestId(request.getRequestId());
		if (this.eras.isKnown()) {
			answer.setEra(this.eras.current()).setEraAgeMillis(this.eras.ageMillis());
		}
		Status sent = (status == Status.STATUS_OK) ? addContent(answer, request) : status;
		this.listener.onAnswer(this.logs.containsKey(request.getKind()) ? request.getKind() : "", label(sent));
		response.accept(answer.setStatus(sent).build());
	}

	private static String label(Status status) {
		return switch (status) {
			case STATUS_OK -> "ok";
			case STATUS_STORE_UNAVAILABLE -> "store_lost";
			case STATUS_HISTORY_GONE -> "gap";
			case STATUS_BEHIND -> "behind";
			default -> "declined";
		};
	}

	private Status addContent(WatchAnswer.Builder answer, WatchRequest request) {
		ChangeLog log = this.logs.get(request.getKind());
		Optional<ByteString> content = this.contents.computeIfAbsent(
				new ContentKey(request.getKind(), request.getListing(),
						request.getListing() ? StoreRevision.NONE : afterRevision(request), log.revision()),
				(key) -> encode(log, key));
		if (content.isEmpty()) {
			return Status.STATUS_DECLINED;
		}
		answer.setContent(content.get()).setRevision(log.revision().number());
		// The time that encoding has taken counts as well.
		answer.setAgeMillis((int) Math.min(Integer.MAX_VALUE, Math.max(0, log.ageMillis(this.clock.get()))));
		return Status.STATUS_OK;
	}

	private static Optional<ByteString> encode(ChangeLog log, ContentKey key) {
		if (!key.listing()) {
			return WatchCodec.encode(log.changesAfter(key.afterRevision()));
		}
		return WatchCodec.encode(log.objects().stream().map((object) -> new ObjectChange(object, false)).toList());
	}

	/**
	 * Records that the store is called. If the call is overdue, those that wait are told
	 * that the store is lost, before the call is given up.
	 * @param kind the kind
	 * @param overdueMillis how long the call may take
	 */
	void recordCall(String kind, long overdueMillis) {
		ChangeLog log = this.logs.get(kind);
		long call = log.recordCall();
		this.timers.schedule(overdueMillis, () -> {
			if (log.markOverdue(call)) {
				resolve(kind);
			}
		});
	}

	/**
	 * Records a listing of the store.
	 * @param kind the kind
	 * @param listing the objects
	 * @param confirmedAt the time whose state it shows at least
	 */
	void recordListing(String kind, ObjectListing listing, Timestamp confirmedAt) {
		this.listings.remove(kind);
		ChangeLog log = this.logs.get(kind);
		StoreRevision knownRevision = log.revision();
		log.recordListing(listing, confirmedAt);
		if (log.revision().isBefore(knownRevision)) {
			// A restored store uses the revisions of the cached contents again.
			this.contents.clear();
		}
		resolve(kind);
	}

	/**
	 * Records changes that the store has returned.
	 * @param kind the kind
	 * @param afterRevision the revision after which they were asked for
	 * @param changes the changes
	 * @param confirmedAt the time whose state they show at least
	 */
	void recordChanges(String kind, StoreRevision afterRevision, ObjectChanges changes, Timestamp confirmedAt) {
		this.logs.get(kind).recordChanges(afterRevision, changes, confirmedAt);
		resolve(kind);
		listForWaiting(kind);
	}

	// Requests that came while the store was lost may need more than these changes.
	private void listForWaiting(String kind) {
		ChangeLog log = this.logs.get(kind);
		boolean isNeeded = this.waiting.stream()
			.map(Waiting::request)
			.anyMatch((request) -> request.getKind().equals(kind) && needsListing(log, request));
		if (isNeeded && this.sources.mayCallStore(this.clock.get().monotonicNanos()) && this.listings.add(kind)) {
			this.lister.accept(kind);
		}
	}

	/**
	 * Records that a call to the store has failed.
	 * @param kind the kind
	 */
	void recordFailure(String kind) {
		this.listings.remove(kind);
		this.logs.get(kind).recordFailure();
		resolve(kind);
	}

	/**
	 * Forgets the objects of a kind, since this VM has it from another VM.
	 * @param kind the kind
	 */
	void clear(String kind) {
		if (this.logs.get(kind).isKnown() || this.logs.get(kind).isStoreLost()) {
			this.logs.get(kind).clear();
			this.contents.clear();
		}
	}

	private void resolve(String kind) {
		ChangeLog log = this.logs.get(kind);
		List<Waiting> open = new ArrayList<>(this.waiting);
		for (Waiting request : open) {
			if (!request.request().getKind().equals(kind)) {
				continue;
			}
			Status status = status(log, request.request());
			if (status != Status.STATUS_BEHIND) {
				this.waiting.remove(request);
				respond(request.request(), request.response(), status);
			}
		}
	}

	private record ContentKey(String kind, boolean listing, StoreRevision afterRevision, StoreRevision revision) {

	}

	/**
	 * A request that waits. Thread safety: immutable; compared by identity.
	 */
	private static final class Waiting {

		private final WatchRequest request;

		private final Consumer<WatchAnswer> response;

		private Waiting(WatchRequest request, Consumer<WatchAnswer> response) {
			this.request = request;
			this.response = response;
		}

		private WatchRequest request() {
			return this.request;
		}

		private Consumer<WatchAnswer> response() {
			return this.response;
		}

	}

}
