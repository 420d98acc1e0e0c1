package org.burdocktray.bench.slopes;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.burdocktray.bench.Measurement;
import org.burdocktray.bench.claim.CountingStore;
import org.burdocktray.process.claim.ClaimDecision;
import org.burdocktray.process.claim.ClaimParameters;
import org.burdocktray.process.claim.ClaimRequest;
import org.burdocktray.process.claim.ClaimRetention;
import org.burdocktray.process.claim.ClaimTicket;
import org.burdocktray.process.claim.ClaimTime;
import org.burdocktray.process.claim.NoForwarder;
import org.burdocktray.process.claim.RecordedResponse;
import org.burdocktray.process.claim.StoreClaimRegistry;

/**
 * Measures the cost of one claim shard by the number of completed keys that it holds: its
 * size in bytes, the processor time of one committed claim, which writes the entire
 * shard, and the processor time of a VM's first claim, which reads it. Processor times
 * vary between runs, so no bound is checked. Thread safety: none.
 */
final class ClaimCostMeasurement implements Measurement {

	private static final int[] KEY_COUNTS = { 500, 2_000, 6_000 };

	private static final int BATCH_SIZE = 100;

	private static final int REPEATS = 15;

	private static final int WARM_UP_CALLS = 600;

	private static final long STORE_LATENCY_MILLIS = 5;

	private static final long DEADLINE_MILLIS = 5_000;

	private static final long TIME_STEP_SECONDS = 2;

	private static final RecordedResponse RESPONSE = new RecordedResponse(200, "application/json",
			"{\"booked\":\"yes\"}", true);

	private final Timing timing = new Timing();

	@Override
	public String name() {
		return "claims";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		Series.printHeader(out);
		Series bytes = new Series("value of one shard, 36-character keys, 16-byte answers", "bytes", "key");
		Series write = new Series("one claim committed to the shard", "ms", "key");
		Series first = new Series("first claim of a VM, which reads the shard", "ms", "key");
		warmUp();
		for (int keys : KEY_COUNTS) {
			Shard shard = new Shard();
			shard.fill(keys);
			bytes.add(keys, shard.store.storedBytes());
			write.add(keys, this.timing.medianMicros(REPEATS, REPEATS, 1, () -> shard.claimOne(shard.registry)) / 1e3);
			first.add(keys,
					this.timing.medianMicros(REPEATS, REPEATS, 1, () -> shard.claimOne(shard.newRegistry())) / 1e3);
		}
		bytes.print(out);
		write.print(out);
		first.print(out);
		return true;
	}

	private void warmUp() {
		Shard shard = new Shard();
		shard.fill(KEY_COUNTS[0]);
		this.timing.medianMicros(WARM_UP_CALLS, 1, 1, () -> shard.claimOne(shard.registry));
		this.timing.medianMicros(WARM_UP_CALLS, 1, 1, () -> shard.claimOne(shard.newRegistry()));
	}

	/** One claim shard in a store that runs in virtual time. */
	private static final class Shard {

		private final TestScheduler scheduler = new TestScheduler();

		private final CountingStore store = new CountingStore(this.scheduler, STORE_LATENCY_MILLIS);

		private final SplittableRandom random = new SplittableRandom(SampleFleet.SEED);

		private final StoreClaimRegistry registry = newRegistry();

		private int claims;

		StoreClaimRegistry newRegistry() {
			ClaimParameters defaults = ClaimParameters.standard();
			ClaimParameters oneShard = new ClaimParameters(1, defaults.minWriteIntervalMillis(),
					defaults.outcomeLingerMillis(), defaults.retryDelayMillis(), defaults.storeCallTimeoutMillis(),
					defaults.forwardTimeoutMillis(), defaults.recordTimeoutMillis(), ClaimRetention.standard());
			return new StoreClaimRegistry("vm-" + this.random.nextInt(1_000_000), this.store, new NoForwarder(),
					oneShard, this.scheduler,
					() -> new ClaimTime(this.scheduler.now(TimeUnit.NANOSECONDS), this.scheduler.now(TimeUnit.SECONDS)),
					this.random.split());
		}

		void fill(int keys) {
			while (this.claims < keys) {
				List<ClaimTicket> tickets = new ArrayList<>();
				for (int index = 0; index < BATCH_SIZE; index++) {
					claim(this.registry, (claim) -> tickets.add(claim.ticket()));
				}
				this.scheduler.advanceTimeBy(TIME_STEP_SECONDS, TimeUnit.SECONDS);
				if (tickets.size() != BATCH_SIZE) {
					throw new IllegalStateException(tickets.size() + " of " + BATCH_SIZE + " claims were granted");
				}
				tickets.forEach((ticket) -> this.registry.recordResponse(ticket, RESPONSE).subscribe());
				this.scheduler.advanceTimeBy(TIME_STEP_SECONDS, TimeUnit.SECONDS);
			}
		}

		List<ClaimTicket> claimOne(StoreClaimRegistry vm) {
			List<ClaimTicket> tickets = new ArrayList<>();
			claim(vm, (claim) -> tickets.add(claim.ticket()));
			this.scheduler.advanceTimeBy(TIME_STEP_SECONDS, TimeUnit.SECONDS);
			if (tickets.isEmpty()) {
				throw new IllegalStateException("The claim was not granted");
			}
			return tickets;
		}

		private void claim(StoreClaimRegistry vm, Consumer<ClaimDecision.Granted> onGranted) {
			String key = "%036d".formatted(this.claims);
			this.claims++;
			vm.claim(new ClaimRequest("organisation-" + this.claims % 10, key, "0123456789abcdef01234567",
					DEADLINE_MILLIS))
				.subscribe((decision) -> {
					if (decision instanceof ClaimDecision.Granted granted) {
						onGranted.accept(granted);
					}
				});
		}

	}

}
