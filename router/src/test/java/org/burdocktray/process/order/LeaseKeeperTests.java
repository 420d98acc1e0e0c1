package org.burdocktray.process.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseKeeperTests {

	private static final OrderSettings SETTINGS = new OrderSettings(4_500, 1_500, 2_000, 2_000, 1_000, 1_000, 600_000);

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final List<LeaseKeeper> keepers = List.of(new LeaseKeeper("one", SETTINGS, 0),
			new LeaseKeeper("two", SETTINGS, 0));

	private Optional<StoredObject> stored = Optional.empty();

	private long era = 1;

	/**
	 * Guards against two VMs sending orders at the same time: when a renewal wrote the
	 * same value as before, the store kept the version, and another VM considered the
	 * lease expired.
	 */
	@Test
	void renewalIsObservedWhenTheStoreKeepsTheVersionOfUnchangedValues() {
		List<Integer> holderCounts = new ArrayList<>();
		for (long now = 0; now < TimeUnit.SECONDS.toNanos(60); now += STEP_NANOS) {
			for (LeaseKeeper keeper : this.keepers) {
				step(keeper, now);
			}
			long checkedAtNanos = now;
			holderCounts.add((int) this.keepers.stream()
				.filter((keeper) -> keeper.fencingNumber(checkedAtNanos).isPresent())
				.count());
		}
		assertThat(holderCounts).allMatch((count) -> count <= 1);
		assertThat(this.keepers.get(0).tenure() + this.keepers.get(1).tenure()).isEqualTo(1);
	}

	/**
	 * Guards against two VMs sending orders at the same time after the store has returned
	 * from a copy in which another VM holds the lease, or nobody. Each VM learns of the
	 * return at another time.
	 */
	@ParameterizedTest
	@CsvSource({ "one,0,0", "one,0,1500", "one,1500,0", "none,0,0", "none,300,1200", "two,0,0", "two,0,1500",
			"two,1500,0" })
	void copyOfTheStoreGivesNoSecondHolder(String copiedHolder, long firstLearnsMillis, long secondLearnsMillis) {
		long returnNanos = TimeUnit.SECONDS.toNanos(20);
		long[] learnNanos = { returnNanos + TimeUnit.MILLISECONDS.toNanos(firstLearnsMillis),
				returnNanos + TimeUnit.MILLISECONDS.toNanos(secondLearnsMillis) };
		boolean[] hasLearned = new boolean[2];
		int maxHolders = 0;
		int holders = 0;
		for (long now = 0; now < TimeUnit.SECONDS.toNanos(60); now += STEP_NANOS) {
			if (now == returnNanos) {
				this.era = 2;
				this.stored = copiedHolder.equals("none") ? Optional.empty() : Optional.of(new StoredObject("lease",
						new StoreRevision(2, 3), OrderLease.toStoredValue(copiedHolder, SETTINGS.ttlMillis(), 1)));
			}
			holders = 0;
			for (int index = 0; index < 2; index++) {
				if (now >= learnNanos[index] && !hasLearned[index]) {
					hasLearned[index] = true;
					this.keepers.get(index).onNewEra(now);
				}
				if (now < returnNanos || hasLearned[index]) {
					step(this.keepers.get(index), now);
				}
				holders += this.keepers.get(index).fencingNumber(now).isPresent() ? 1 : 0;
			}
			maxHolders = Math.max(maxHolders, holders);
		}
		assertThat(maxHolders).isEqualTo(1);
		assertThat(holders).as("the lease is held again").isEqualTo(1);
	}

	/**
	 * Guards against orders that engines refuse, since revisions were given out again.
	 */
	@Test
	void fencingNumberRisesWhenTheStoreReturnsFromACopy() {
		OrderLease before = new OrderLease("one", new StoreRevision(1, 900), 1);
		OrderLease after = new OrderLease("one", new StoreRevision(2, 3), 1);
		assertThat(before.fencingNumber()).as("as sent by builds without eras").isEqualTo(900);
		assertThat(after.fencingNumber()).isGreaterThan(before.fencingNumber());
	}

	private void step(LeaseKeeper keeper, long nowNanos) {
		keeper.nextCall(nowNanos).ifPresent((action) -> {
			if (action instanceof OrderAction.WriteLease write) {
				write(keeper, write, nowNanos);
				return;
			}
			keeper.onRead(this.stored, nowNanos);
		});
	}

	private void write(LeaseKeeper keeper, OrderAction.WriteLease write, long nowNanos) {
		if (!write.expectedVersion().equals(this.stored.map(StoredObject::version))) {
			keeper.onWriteFailed(StoreError.CONFLICT, nowNanos);
			return;
		}
		long version = this.stored.map((object) -> object.version().number()).orElse(0L);
		boolean valueChanged = this.stored.map(StoredObject::value).filter(write.value()::equals).isEmpty();
		this.stored = Optional.of(new StoredObject("lease",
				new StoreRevision(this.era, valueChanged ? version + 1 : version), write.value()));
		keeper.onWritten(this.stored.get(), nowNanos);
	}

}
