package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.process.order.LeaseLoop;
import org.burdocktray.process.order.LeasePolling;
import org.burdocktray.process.order.OrderSettings;
import org.burdocktray.process.restore.StoreEras;

/**
 * The lease under which a VM sends orders to engines. A few VMs poll it often. All others
 * poll it rarely, so that the number of store calls does not grow with the fleet, and
 * take over only when none of the frequent pollers is left. Thread safety: none, confined
 * to one event loop.
 */
final class PlacementLease {

	private static final String KEY = "burdocktray-leases/placement";

	private final PlatformStore store;

	private final String vmName;

	private final LeasePolling polling;

	private final StoreEras eras;

	private Optional<LeaseLoop> loop = Optional.empty();

	PlacementLease(PlatformStore store, String vmName, LeasePolling polling, StoreEras eras) {
		this.store = store;
		this.vmName = vmName;
		this.polling = polling;
		this.eras = eras;
		eras.addListener(this::onNewEra);
	}

	private void onNewEra() {
		this.loop.ifPresent((running) -> running.onNewEra(System.nanoTime()));
	}

	/**
	 * Sets the VMs of the fleet, which decide how often this VM polls the lease. Unless
	 * watches are shared, only the first call has an effect.
	 * @param names the names of the VMs
	 */
	void setVms(List<String> names) {
		if (this.loop.isPresent() && !this.polling.followsVms()) {
			return;
		}
		LeasePolling.Schedule schedule = this.polling.schedule(this.vmName, names);
		if (this.loop.isEmpty()) {
			this.loop = Optional.of(start(schedule.intervalMillis()));
			if (this.eras.hasReturned()) {
				// The store may have lost the lease of a VM that still holds it.
				onNewEra();
			}
		}
		this.loop.get().setPolling(schedule);
	}

	private LeaseLoop start(long pollMillis) {
		OrderSettings settings = new OrderSettings(4_500, 1_500, 2_000, pollMillis, 1_000, 1_000, 600_000);
		String holder = this.vmName + "/" + System.currentTimeMillis();
		return new LeaseLoop(this.store, KEY, holder, settings, System.nanoTime());
	}

	void tick(long nowNanos) {
		this.loop.ifPresent((running) -> running.tick(nowNanos));
	}

	boolean mayOrder(long nowNanos) {
		return this.loop.filter((running) -> running.mayOrder(nowNanos)).isPresent();
	}

	OptionalLong fencingNumber(long nowNanos) {
		return this.loop.map((running) -> running.fencingNumber(nowNanos)).orElse(OptionalLong.empty());
	}

}
