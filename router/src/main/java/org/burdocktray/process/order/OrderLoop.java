package org.burdocktray.process.order;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import org.burdocktray.connection.engine.EngineOrderClient;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.process.limits.TokenBucket;
import org.burdocktray.version.bundle.Bundle;

/**
 * Sends orders to the engines of the groups for which this VM is a candidate. Invariant:
 * only the holder of a group's lease sends orders; candidacy is a hint that limits the
 * number of calls to the platform. Thread safety: all methods can be called from any
 * thread; all decisions are made on one worker, one at a time.
 */
public final class OrderLoop implements Disposable {

	private static final long CANDIDACY_INTERVAL_MILLIS = 1_000;

	private static final double MAX_BURST_ORDERS = 1;

	private final String holder;

	private final PlatformStore store;

	private final EngineOrderClient orders;

	private final OrderSettings settings;

	private final Predicate<String> isCandidate;

	private final Scheduler scheduler;

	private final Scheduler.Worker worker;

	private final LongSupplier nanoClock;

	private final TokenBucket budget;

	private final Map<String, GroupDriver> drivers = new HashMap<>();

	private Map<String, List<OrderTarget>> targetsByGroup = Map.of();

	private long bundleVersion;

	/**
	 * Creates a loop, which is idle until the first bundle is applied.
	 * @param holder the id of this process, never used by another process
	 * @param store the platform's store
	 * @param orders sends orders and load queries to the engines
	 * @param settings the intervals and timeouts
	 * @param ordersPerSecond this VM's share of the order rate that the weight store
	 * supports, above 0
	 * @param isCandidate returns whether this VM is a candidate for the lease of a group
	 * @param scheduler runs the decisions and the timers
	 * @param nanoClock the monotonic clock
	 */
	public OrderLoop(String holder, PlatformStore store, EngineOrderClient orders, OrderSettings settings,
			double ordersPerSecond, Predicate<String> isCandidate, Scheduler scheduler, LongSupplier nanoClock) {
		if (ordersPerSecond <= 0) {
			throw new IllegalArgumentException("ordersPerSecond must be > 0, was " + ordersPerSecond);
		}
		this.holder = holder;
		this.store = store;
		this.orders = orders;
		this.settings = settings;
		this.isCandidate = isCandidate;
		this.scheduler = scheduler;
		this.worker = scheduler.createWorker();
		this.nanoClock = nanoClock;
		this.budget = new TokenBucket(ordersPerSecond, MAX_BURST_ORDERS, nanoClock.getAsLong());
		this.worker.schedulePeriodically(this::updateDrivers, CANDIDACY_INTERVAL_MILLIS, CANDIDACY_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Applies a bundle. A bundle older than the current one is ignored.
	 * @param bundle the bundle in force
	 */
	public void applyBundle(Bundle bundle) {
		this.worker.schedule(() -> replaceBundle(bundle));
	}

	@Override
	public void dispose() {
		this.worker.schedule(() -> {
			this.drivers.values().forEach(Disposable::dispose);
			this.worker.dispose();
		});
	}

	@Override
	public boolean isDisposed() {
		return this.worker.isDisposed();
	}

	private void replaceBundle(Bundle bundle) {
		if (bundle.version() < this.bundleVersion) {
			return;
		}
		this.bundleVersion = bundle.version();
		this.targetsByGroup = OrderTarget.byGroup(bundle);
		this.targetsByGroup.forEach(this::updateTargets);
		updateDrivers();
	}

	private void updateTargets(String group, List<OrderTarget> targets) {
		GroupDriver driver = this.drivers.get(group);
		if (driver != null) {
			driver.setTargets(targets);
		}
	}

	private void updateDrivers() {
		this.drivers.entrySet().removeIf((entry) -> stopIfNotCandidate(entry.getKey(), entry.getValue()));
		this.targetsByGroup.forEach((group, targets) -> {
			if (!this.drivers.containsKey(group) && this.isCandidate.test(group)) {
				startDriver(group, targets);
			}
		});
	}

	private void startDriver(String group, List<OrderTarget> targets) {
		OrderPlanner planner = new OrderPlanner(this.holder, this.settings, this.budget, this.nanoClock.getAsLong());
		GroupDriver driver = new GroupDriver(group, planner, this.settings, this.store, this.orders, this.scheduler,
				this.worker, this.nanoClock);
		this.drivers.put(group, driver);
		driver.setTargets(targets);
	}

	private boolean stopIfNotCandidate(String group, GroupDriver driver) {
		if (this.targetsByGroup.containsKey(group) && this.isCandidate.test(group)) {
			return false;
		}
		driver.dispose();
		return true;
	}

}
