package org.burdocktray.process.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseKeeperTests {

	private static final OrderSettings SETTINGS = new OrderSettings(4_500, 1_500, 2_000, 2_000, 1_000, 1_000, 600_000);

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final List<LeaseKeeper> keepers = List.of(new LeaseKeeper("one", SETTINGS, 0),
			new LeaseKeeper("two", SETTINGS, 0));

	private Optional<StoredObject> stored = Optional.empty();

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
		this.stored = Optional.of(new StoredObject("lease", valueChanged ? version + 1 : version, write.value()));
		keeper.onWritten(this.stored.get(), nowNanos);
	}

}
