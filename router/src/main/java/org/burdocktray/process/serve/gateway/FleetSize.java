package org.burdocktray.process.serve.gateway;

import java.util.function.IntConsumer;

import io.vertx.core.Vertx;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.jboss.logging.Logger;

/**
 * Registers this VM in the platform's store and counts the VMs that have registered. VMs
 * that are gone stay counted, so that the count is never too low. Thread safety: none,
 * confined to one event loop.
 */
final class FleetSize {

	private static final Logger LOGGER = Logger.getLogger(FleetSize.class);

	private static final String PREFIX = "burdocktray-vms/";

	private static final long RETRY_MILLIS = 1_000;

	private static final long PERIOD_MILLIS = 12_000;

	private final Vertx vertx;

	private final PlatformStore store;

	private final String vmName;

	private final IntConsumer counted;

	FleetSize(Vertx vertx, PlatformStore store, String vmName, IntConsumer counted) {
		this.vertx = vertx;
		this.store = store;
		this.vmName = vmName;
		this.counted = counted;
	}

	void start() {
		this.store.create(PREFIX + this.vmName, "{}").subscribe((result) -> {
			boolean isRegistered = result.isRight() || result.getLeft() == StoreError.CONFLICT;
			if (!isRegistered) {
				LOGGER.warnf("VM could not register, will try again: error=%s", result.getLeft());
				this.vertx.setTimer(RETRY_MILLIS, (timer) -> start());
				return;
			}
			this.vertx.setTimer(RETRY_MILLIS, (timer) -> count());
		});
	}

	private void count() {
		this.store.list(PREFIX).subscribe((listed) -> {
			listed.peek((vms) -> this.counted.accept(vms.size()))
				.peekLeft((error) -> LOGGER.infof("VMs could not be counted: error=%s", error));
			this.vertx.setTimer(listed.isRight() ? PERIOD_MILLIS : RETRY_MILLIS, (timer) -> count());
		});
	}

}
