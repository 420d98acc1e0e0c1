package org.burdocktray.bench.claim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.HdrHistogram.Histogram;
import org.burdocktray.process.claim.ClaimClock;
import org.burdocktray.process.claim.ClaimDecision;
import org.burdocktray.process.claim.ClaimForwarder;
import org.burdocktray.process.claim.ClaimParameters;
import org.burdocktray.process.claim.ClaimRegistry;
import org.burdocktray.process.claim.ClaimRequest;
import org.burdocktray.process.claim.ClaimTicket;
import org.burdocktray.process.claim.ClaimTime;
import org.burdocktray.process.claim.NoForwarder;
import org.burdocktray.process.claim.RecordedResponse;
import org.burdocktray.process.claim.StoreClaimRegistry;

/**
 * Counts the store calls for a stream of claims, each followed by its outcome. Runs in
 * virtual time with a fixed seed and yields the same results each time. Thread safety:
 * confined to one thread.
 */
final class ClaimWriteSimulation {

	private static final int VM_COUNT = 9;

	private static final long STORE_LATENCY_MILLIS = 5;

	private static final long CALL_DURATION_MILLIS = 100;

	private static final long DEADLINE_MILLIS = 10_000;

	private static final long SETTLE_MILLIS = 15_000;

	private static final long SEED = 42;

	// A realistic time, so that stored entries have their actual size.
	private static final long START_EPOCH_SECONDS = 1_764_800_000;

	private static final String RESPONSE_BODY = "{\"confirmed\":true}";

	private final TestScheduler scheduler = new TestScheduler(START_EPOCH_SECONDS, TimeUnit.SECONDS);

	private final CountingStore store = new CountingStore(this.scheduler, STORE_LATENCY_MILLIS);

	private final Histogram waitMicros = new Histogram(3);

	private final SplittableRandom random = new SplittableRandom(SEED);

	private final Ownership ownership;

	private final List<ClaimRegistry> registries;

	private int granted;

	private int refused;

	private ClaimWriteSimulation(Ownership ownership, ClaimParameters parameters) {
		this.ownership = ownership;
		this.registries = createRegistries(parameters);
	}

	static Result simulate(Ownership ownership, ClaimParameters parameters, int claimsPerSecond, int seconds) {
		return new ClaimWriteSimulation(ownership, parameters).run(claimsPerSecond, seconds);
	}

	private Result run(int claimsPerSecond, int seconds) {
		long endMicros = TimeUnit.SECONDS.toMicros(seconds);
		double arrivalMicros = 0;
		int index = 0;
		while (arrivalMicros < endMicros) {
			int key = index++;
			this.scheduler.scheduleDirect(() -> sendClaim(key), (long) arrivalMicros, TimeUnit.MICROSECONDS);
			arrivalMicros += -Math.log(1 - this.random.nextDouble()) * TimeUnit.SECONDS.toMicros(1) / claimsPerSecond;
		}
		this.scheduler.advanceTimeBy(TimeUnit.SECONDS.toMillis(seconds) + SETTLE_MILLIS, TimeUnit.MILLISECONDS);
		return new Result(claimsPerSecond, this.granted, this.refused, this.store.writes(), this.store.conflicts(),
				this.store.reads(), this.store.writtenBytes(), this.store.storedBytes(), this.waitMicros.getMean(),
				this.waitMicros.getValueAtPercentile(95), this.waitMicros.getMaxValue());
	}

	private void sendClaim(int index) {
		ClaimRegistry registry = this.registries.get(this.random.nextInt(VM_COUNT));
		long startMicros = this.scheduler.now(TimeUnit.MICROSECONDS);
		ClaimRequest request = new ClaimRequest("organisation-" + index % 10, formatKey(index),
				"0123456789abcdef01234567", DEADLINE_MILLIS);
		registry.claim(request).subscribe((decision) -> {
			if (decision instanceof ClaimDecision.Granted claim) {
				this.granted++;
				this.waitMicros.recordValue(this.scheduler.now(TimeUnit.MICROSECONDS) - startMicros);
				this.scheduler.scheduleDirect(() -> recordResponse(registry, claim.ticket()), CALL_DURATION_MILLIS,
						TimeUnit.MILLISECONDS);
				return;
			}
			this.refused++;
		});
	}

	// The length of a UUID, which callers commonly use as a key.
	private static String formatKey(int index) {
		return String.format("%036d", index);
	}

	private static void recordResponse(ClaimRegistry registry, ClaimTicket ticket) {
		registry.recordResponse(ticket, new RecordedResponse(200, "application/json", RESPONSE_BODY, true)).subscribe();
	}

	private List<ClaimRegistry> createRegistries(ClaimParameters parameters) {
		if (this.ownership == Ownership.OBJECT_PER_CLAIM) {
			return Collections.nCopies(VM_COUNT, new ObjectPerClaimRegistry(this.store));
		}
		ClaimClock clock = () -> new ClaimTime(this.scheduler.now(TimeUnit.NANOSECONDS),
				this.scheduler.now(TimeUnit.SECONDS));
		List<String> names = IntStream.range(0, VM_COUNT).mapToObj((index) -> "vm-" + index).toList();
		Map<String, StoreClaimRegistry> registriesByName = new HashMap<>();
		List<ClaimRegistry> createdRegistries = new ArrayList<>();
		for (String name : names) {
			ClaimForwarder forwarder = (this.ownership == Ownership.KNOWN)
					? new InProcessForwarder(name, names, registriesByName, this.scheduler) : new NoForwarder();
			StoreClaimRegistry registry = new StoreClaimRegistry(name, this.store, forwarder, parameters,
					this.scheduler, clock, this.random.split());
			registriesByName.put(name, registry);
			createdRegistries.add(registry);
		}
		return createdRegistries;
	}

	/**
	 * Determines which VM commits the claims of a shard. The names are printed.
	 */
	enum Ownership {

		/** The preferred VM of the shard commits them. */
		KNOWN,

		/** Each VM commits its own claims. */
		UNKNOWN,

		/** Each VM commits its own claims, with one object per claim. */
		OBJECT_PER_CLAIM

	}

	/**
	 * The results of one run.
	 *
	 * @param claimsPerSecond the rate of claims
	 * @param granted the number of granted claims
	 * @param refused the number of refused claims
	 * @param writes the number of writes, including those that met a conflict
	 * @param conflicts the number of writes that met a conflict
	 * @param reads the number of reads
	 * @param writtenBytes the total size of all written values
	 * @param storedBytes the total size of the values that are stored at the end
	 * @param meanWaitMicros the mean time from a claim to its decision
	 * @param p95WaitMicros the 95th percentile of that time
	 * @param maxWaitMicros the maximum of that time
	 */
	record Result(int claimsPerSecond, int granted, int refused, int writes, int conflicts, int reads,
			long writtenBytes, long storedBytes, double meanWaitMicros, long p95WaitMicros, long maxWaitMicros) {

		double writesPerClaim() {
			return (double) this.writes / this.granted;
		}

		double readsPerClaim() {
			return (double) this.reads / this.granted;
		}

		double storedBytesPerClaim() {
			return (double) this.storedBytes / this.granted;
		}

		double writtenBytesPerClaim() {
			return (double) this.writtenBytes / this.granted;
		}

	}

}
