package org.burdocktray.process.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import io.vavr.control.Either;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.model.Verdict;

/**
 * The entries of one shard and the rules of their state changes. Invariants: an entry in
 * the state claimed or unknown is removed only by the outcome of its own claim or by an
 * operator; the encoded value does not exceed {@link ClaimRetention#maxValueBytes()}.
 * Thread safety: confined to one thread at a time.
 */
final class ClaimTable {

	private static final long IN_PROGRESS_RETRY_MILLIS = 1_000;

	private static final long SHARD_FULL_RETRY_MILLIS = 60_000;

	private final ClaimRetention retention;

	private final Map<String, EncodedEntry> encodedEntries;

	private int bytes;

	private boolean changed;

	private ClaimTable(ClaimRetention retention, Map<String, EncodedEntry> encodedEntries, int bytes) {
		this.retention = retention;
		this.encodedEntries = encodedEntries;
		this.bytes = bytes;
	}

	static ClaimTable empty(ClaimRetention retention) {
		return new ClaimTable(retention, new LinkedHashMap<>(), ClaimTableCodec.framingBytes());
	}

	static Either<String, ClaimTable> decode(ClaimRetention retention, String value) {
		return ClaimTableCodec.decode(value).map((entries) -> {
			ClaimTable table = empty(retention);
			entries.forEach(table::put);
			table.changed = false;
			return table;
		});
	}

	ClaimTable copy() {
		return new ClaimTable(this.retention, new LinkedHashMap<>(this.encodedEntries), this.bytes);
	}

	String encode() {
		return ClaimTableCodec.join(this.encodedEntries.values().stream().map(EncodedEntry::json).toList());
	}

	int bytes() {
		return this.bytes;
	}

	boolean isChanged() {
		return this.changed;
	}

	List<ClaimEntry> entries() {
		return this.encodedEntries.values().stream().map(EncodedEntry::entry).toList();
	}

	Optional<ClaimEntry> find(ClaimKey key) {
		return Optional.ofNullable(this.encodedEntries.get(key.entryName())).map(EncodedEntry::entry);
	}

	/**
	 * Decides on a claim and adds its entry if it is granted.
	 * @param proposal the claim
	 * @param nowSeconds the time in seconds since the epoch
	 * @return the decision, which takes effect once the table is stored durably
	 */
	ClaimDecision claim(ClaimProposal proposal, long nowSeconds) {
		if (this.encodedEntries.containsKey(proposal.claimId())) {
			return new ClaimDecision.Refused(
					Refusal.notRun(RefusalReason.DEADLINE_EXCEEDED, "The claim was given up before."));
		}
		Optional<ClaimEntry> existing = find(proposal.key());
		if (existing.isEmpty()) {
			return addClaim(proposal, nowSeconds);
		}
		ClaimEntry entry = existing.get();
		if (entry instanceof ClaimEntry.Claimed && entry.claimId().equals(proposal.claimId())) {
			return new ClaimDecision.Granted(proposal.ticket());
		}
		if (!entry.isSameRequest(proposal.digest())) {
			return new ClaimDecision.Refused(Refusal.notRun(RefusalReason.KEY_REUSED,
					"The idempotency key was used before with another request."));
		}
		if (entry instanceof ClaimEntry.Done done) {
			return new ClaimDecision.Replay(done.response());
		}
		if (entry instanceof ClaimEntry.Claimed && !isOverdue(entry, nowSeconds)) {
			// This request was not dispatched, but the earlier one with the same key may
			// have run, and the caller applies the verdict to the key.
			return new ClaimDecision.Refused(new Refusal(Verdict.MAY_HAVE_RUN, RefusalReason.KEY_IN_PROGRESS,
					"A request with the same idempotency key is in progress.",
					OptionalLong.of(IN_PROGRESS_RETRY_MILLIS)));
		}
		return new ClaimDecision.Refused(Refusal.mayHaveRun(RefusalReason.KEY_OUTCOME_UNKNOWN,
				"The outcome of an earlier request with the same idempotency key is not known."));
	}

	private ClaimDecision addClaim(ClaimProposal proposal, long nowSeconds) {
		ClaimEntry.Claimed entry = new ClaimEntry.Claimed(proposal.claimId(), proposal.digest(), nowSeconds,
				proposal.vm(), proposal.request().organisation(), proposal.request().idempotencyKey());
		String name = proposal.key().entryName();
		freeSpace(EncodedEntry.of(name, entry).bytes(), nowSeconds);
		if (!fits(name, entry)) {
			return new ClaimDecision.Refused(Refusal.notRunRetryAfter(RefusalReason.OVERLOADED,
					"The record of idempotency keys is full.", SHARD_FULL_RETRY_MILLIS));
		}
		put(name, entry);
		return new ClaimDecision.Granted(proposal.ticket());
	}

	/**
	 * Records the outcome of a claim. Recording it again has no effect.
	 * @param ticket the claim
	 * @param outcome the outcome
	 * @param nowSeconds the time in seconds since the epoch
	 * @return whether the table reflects the outcome
	 */
	boolean record(ClaimTicket ticket, ClaimOutcome outcome, long nowSeconds) {
		ClaimKey key = new ClaimKey(ticket.organisation(), ticket.idempotencyKey());
		Optional<ClaimEntry> existing = find(key);
		boolean isOwn = existing.map(ClaimEntry::claimId).filter(ticket.claimId()::equals).isPresent();
		boolean isOpen = isOwn && !(existing.get() instanceof ClaimEntry.Done);
		if (outcome instanceof ClaimOutcome.NotRun) {
			return release(ticket, key, isOwn, isOpen, nowSeconds);
		}
		if (outcome instanceof ClaimOutcome.OutcomeUnknown) {
			if (isOpen && existing.get() instanceof ClaimEntry.Claimed claimed) {
				put(key.entryName(), claimed.toUnknown());
			}
			return isOwn;
		}
		RecordedResponse response = ((ClaimOutcome.Completed) outcome).response();
		if (isOpen || existing.isEmpty()) {
			String digest = existing.map(ClaimEntry::digest).orElse("");
			long claimedAtSeconds = existing.map(ClaimEntry::claimedAtSeconds).orElse(nowSeconds);
			return putResponse(key.entryName(),
					new ClaimEntry.Done(ticket.claimId(), digest, claimedAtSeconds, response), nowSeconds);
		}
		return isOwn;
	}

	private boolean release(ClaimTicket ticket, ClaimKey key, boolean isOwn, boolean isOpen, long nowSeconds) {
		if (isOwn && !isOpen) {
			return false;
		}
		if (isOpen) {
			remove(key.entryName());
		}
		if (!this.encodedEntries.containsKey(ticket.claimId())) {
			putReleased(new ClaimEntry.Released(ticket.claimId(), nowSeconds), nowSeconds);
		}
		return true;
	}

	private void putReleased(ClaimEntry.Released entry, long nowSeconds) {
		freeSpace(EncodedEntry.of(entry.claimId(), entry).bytes(), nowSeconds);
		if (fits(entry.claimId(), entry)) {
			put(entry.claimId(), entry);
		}
	}

	private boolean putResponse(String name, ClaimEntry.Done done, long nowSeconds) {
		boolean canKeepBody = done.response().body().length() <= this.retention.maxBodyChars();
		ClaimEntry.Done entry = (canKeepBody) ? done : done.withoutBody();
		boolean replacesEntry = this.encodedEntries.containsKey(name);
		remove(name);
		freeSpace(EncodedEntry.of(name, entry).bytes(), nowSeconds);
		ClaimEntry.Done fittingEntry = (fits(name, entry)) ? entry : entry.withoutBody();
		// A response replaces the entry of its claim even if the table is full.
		if (!replacesEntry && !fits(name, fittingEntry)) {
			return false;
		}
		put(name, fittingEntry);
		return true;
	}

	private boolean fits(String name, ClaimEntry entry) {
		return this.bytes + EncodedEntry.of(name, entry).bytes() <= this.retention.maxValueBytes();
	}

	/**
	 * Drops completed and released claims past their retention and marks overdue claims
	 * as unknown.
	 * @param nowSeconds the time in seconds since the epoch
	 */
	void compact(long nowSeconds) {
		for (Map.Entry<String, EncodedEntry> encodedEntry : new ArrayList<>(this.encodedEntries.entrySet())) {
			ClaimEntry entry = encodedEntry.getValue().entry();
			if (entry instanceof ClaimEntry.Claimed claimed && isOverdue(entry, nowSeconds)) {
				put(encodedEntry.getKey(), claimed.toUnknown());
			}
			if (isDoneAndOlder(entry, this.retention.retentionSeconds(), nowSeconds)
					|| isReleasedAndOlder(entry, this.retention.releasedRetentionSeconds(), nowSeconds)) {
				remove(encodedEntry.getKey());
			}
		}
	}

	private void freeSpace(int neededBytes, long nowSeconds) {
		int limitBytes = this.retention.maxValueBytes() - neededBytes;
		if (this.bytes <= limitBytes) {
			return;
		}
		reduceTo(limitBytes, (entry) -> entry instanceof ClaimEntry.Done done && done.hasBody(),
				(name, entry) -> put(name, ((ClaimEntry.Done) entry).withoutBody()));
		reduceTo(limitBytes, (entry) -> entry instanceof ClaimEntry.Released, (name, entry) -> remove(name));
		reduceTo(limitBytes, (entry) -> isDoneAndOlder(entry, this.retention.minRetentionSeconds(), nowSeconds),
				(name, entry) -> remove(name));
	}

	// Applies the reduction to matching entries, oldest first, until the table fits.
	private void reduceTo(int limitBytes, Predicate<ClaimEntry> isReducible, BiConsumer<String, ClaimEntry> reduction) {
		for (Map.Entry<String, EncodedEntry> encodedEntry : new ArrayList<>(this.encodedEntries.entrySet())) {
			if (this.bytes <= limitBytes) {
				return;
			}
			if (isReducible.test(encodedEntry.getValue().entry())) {
				reduction.accept(encodedEntry.getKey(), encodedEntry.getValue().entry());
			}
		}
	}

	private boolean isOverdue(ClaimEntry entry, long nowSeconds) {
		return nowSeconds - entry.claimedAtSeconds() > this.retention.unknownAfterSeconds();
	}

	private static boolean isReleasedAndOlder(ClaimEntry entry, long ageSeconds, long nowSeconds) {
		return entry instanceof ClaimEntry.Released && nowSeconds - entry.claimedAtSeconds() > ageSeconds;
	}

	private static boolean isDoneAndOlder(ClaimEntry entry, long ageSeconds, long nowSeconds) {
		return entry instanceof ClaimEntry.Done && nowSeconds - entry.claimedAtSeconds() > ageSeconds;
	}

	void put(String name, ClaimEntry entry) {
		EncodedEntry encodedEntry = EncodedEntry.of(name, entry);
		Optional<EncodedEntry> previous = Optional.ofNullable(this.encodedEntries.put(name, encodedEntry));
		this.bytes += encodedEntry.bytes() - previous.map(EncodedEntry::bytes).orElse(0);
		this.changed = true;
	}

	void remove(String name) {
		Optional<EncodedEntry> previous = Optional.ofNullable(this.encodedEntries.remove(name));
		if (previous.isEmpty()) {
			return;
		}
		this.bytes -= previous.get().bytes();
		this.changed = true;
	}

	/**
	 * An entry with its encoded form.
	 *
	 * @param entry the entry
	 * @param json the member of the JSON object, with the entry's name
	 * @param bytes the size of the encoded form in UTF-8, with a separator
	 */
	private record EncodedEntry(ClaimEntry entry, String json, int bytes) {

		private static final int SEPARATOR_BYTES = 1;

		static EncodedEntry of(String name, ClaimEntry entry) {
			String json = ClaimTableCodec.encode(name, entry);
			return new EncodedEntry(entry, json, json.getBytes(StandardCharsets.UTF_8).length + SEPARATOR_BYTES);
		}

	}

}
