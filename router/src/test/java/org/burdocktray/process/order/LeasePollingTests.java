package org.burdocktray.process.order;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reads of the lease that grow with the fleet, and against a lease that
 * nobody takes over when the VMs that read it often are lost. Load: a calm minute of all
 * VMs.
 */
class LeasePollingTests {

	private static final Logger LOGGER = Logger.getLogger(LeasePollingTests.class);

	private static final long STEP_MILLIS = 50;

	/** Writes of the holder in a minute. */
	private static final long RENEWALS = 40;

	private static final LeasePolling SHARED = new LeasePolling(OptionalInt.of(16));

	private static final LeasePolling UNSHARED = new LeasePolling(OptionalInt.empty());

	private final Map<String, LeaseKeeper> keepers = new LinkedHashMap<>();

	private Optional<StoredObject> stored = Optional.empty();

	private long nowMillis;

	private long calls;

	private final Map<Long, Long> readsBySecond = new HashMap<>();

	@ParameterizedTest
	@ValueSource(ints = { 9, 30, 95, 300 })
	void calmMinuteTakesFewReads(int vmCount) {
		long rareReaders = Math.min(vmCount, 16) - 4;
		long maxCalls = RENEWALS + 30 * 4 + 4 * rareReaders + Math.max(0, vmCount - 16);
		long shared = callsOfAMinute(vmCount, SHARED);
		long unshared = callsOfAMinute(vmCount, UNSHARED);
		LOGGER.infof("Calls of the lease in a minute: vms=%d shared=%d unshared=%d", vmCount, shared, unshared);
		assertThat(shared).isLessThanOrEqualTo(Math.min(maxCalls, unshared));
	}

	/** Guards against reads that grow as fast as the fleet. */
	@Test
	void thriceTheVmsMakeAtMostTwiceTheCalls() {
		assertThat(callsOfAMinute(300, SHARED)).isLessThanOrEqualTo(2 * callsOfAMinute(95, SHARED));
	}

	/** Guards against VMs that start at once and read in the same second ever after. */
	@Test
	void readsOfVmsThatStartAtOnceAreSpread() {
		List<String> names = names(300);
		names.forEach((name) -> add(name, names, SHARED));
		run(120_000);
		this.readsBySecond.clear();
		run(60_000);
		assertThat(this.readsBySecond.values()).allMatch((reads) -> reads <= 300 / 15);
	}

	/** Guards against VMs that read as often as in the small fleet that it was before. */
	@Test
	void grownFleetReadsByItsNewSize() {
		List<String> few = names(15);
		List<String> all = names(300);
		all.forEach((name) -> add(name, few, SHARED));
		run(120_000);
		this.keepers.forEach((name, keeper) -> keeper.setPolling(SHARED.schedule(name, all)));
		run(60_000);
		long before = this.calls;
		run(60_000);
		assertThat(this.calls - before).isLessThanOrEqualTo(callsOfAMinute(300, SHARED));
	}

	/** Guards against readers that are all in the data centre that is cut off. */
	@ParameterizedTest
	@ValueSource(strings = { "a", "b", "c" })
	void leaseIsTakenOverWhenADataCentreIsLost(String lost) {
		List<String> names = names(95);
		names.stream().filter((name) -> name.startsWith("vm-" + lost)).findFirst().ifPresent((name) -> {
			add(name, names, SHARED);
			run(STEP_MILLIS);
		});
		start(95, SHARED);
		run(120_000);
		String holder = this.keepers.keySet()
			.stream()
			.filter((name) -> holdsLease(this.keepers.get(name)))
			.findFirst()
			.orElseThrow();
		this.keepers.keySet().removeIf((name) -> name.startsWith("vm-" + lost));
		assertThat(this.keepers).isNotEmpty().doesNotContainKey(holder);
		run(36_000);
		assertThat(this.keepers.values()).anyMatch(this::holdsLease);
	}

	@Test
	void leaseIsTakenOverByAnyVm() {
		start(95, SHARED);
		run(120_000);
		this.keepers.keySet().removeIf((name) -> SHARED.pollMillis(name, names(95)) < 60_000);
		assertThat(this.keepers).hasSize(95 - 16);
		run(126_000);
		assertThat(this.keepers.values()).anyMatch(this::holdsLease);
	}

	private long callsOfAMinute(int vmCount, LeasePolling polling) {
		this.keepers.clear();
		this.stored = Optional.empty();
		start(vmCount, polling);
		run(120_000);
		long before = this.calls;
		run(60_000);
		return this.calls - before;
	}

	private void start(int vmCount, LeasePolling polling) {
		List<String> names = names(vmCount);
		for (String name : names) {
			if (!this.keepers.containsKey(name)) {
				add(name, names, polling);
				run(STEP_MILLIS);
			}
		}
	}

	private void add(String name, List<String> names, LeasePolling polling) {
		LeasePolling.Schedule schedule = polling.schedule(name, names);
		OrderSettings settings = new OrderSettings(4_500, 1_500, 2_000, schedule.intervalMillis(), 1_000, 1_000,
				600_000);
		LeaseKeeper keeper = new LeaseKeeper(name, settings, nanos() + this.keepers.size());
		keeper.setPolling(schedule);
		this.keepers.put(name, keeper);
	}

	private static List<String> names(int vmCount) {
		return IntStream.range(0, vmCount).mapToObj((index) -> "vm-" + "abc".charAt(index % 3) + "-" + index).toList();
	}

	private void run(long millis) {
		for (long end = this.nowMillis + millis; this.nowMillis < end; this.nowMillis += STEP_MILLIS) {
			for (LeaseKeeper keeper : this.keepers.values()) {
				keeper.nextCall(nanos()).ifPresent((action) -> call(keeper, action));
			}
		}
	}

	private void call(LeaseKeeper keeper, OrderAction action) {
		this.calls++;
		if (!(action instanceof OrderAction.WriteLease write)) {
			this.readsBySecond.merge(this.nowMillis / 1_000, 1L, Long::sum);
			keeper.onRead(this.stored, nanos());
			return;
		}
		write(write).peek((object) -> keeper.onWritten(object, nanos()))
			.peekLeft((error) -> keeper.onWriteFailed(error, nanos()));
	}

	private Either<StoreError, StoredObject> write(OrderAction.WriteLease write) {
		if (!write.expectedVersion().equals(this.stored.map(StoredObject::version))) {
			return Either.left(StoreError.CONFLICT);
		}
		this.stored = Optional.of(new StoredObject("lease",
				this.stored.map((object) -> object.version().number() + 1).orElse(1L), write.value()));
		return Either.right(this.stored.get());
	}

	private boolean holdsLease(LeaseKeeper keeper) {
		return keeper.fencingNumber(nanos()).isPresent();
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

}
