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
 * Orders the engines of the groups for which this VM stands as a holder. Invariant: only
 * the lease decides who orders; who stands is a hint that bounds the calls to the
 * platform. Thread safety: can be called from any thread; all decisions are made on one
 * worker, one at a time.
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
	 * Creates a loop; it does nothing before it knows a bundle.
	 * @param holder the id of this run of this VM; never used by another run
	 * @param store the platform's store
	 * @param orders the way to the engines
	 * @param settings the times
	 * @param ordersPerSecond this VM's part of the rate that the weight store bears,
	 * above 0
	 * @param candidate says whether this VM stands as the holder of a group
	 * @param scheduler runs the decisions and the timers
	 * @param nanoClock the monotonic clock
	 */
	public OrderLoop(String holder, PlatformStore store, EngineOrderClient orders, OrderSettings settings,
			double ordersPerSecond, Predicate<String> candidate, Scheduler scheduler, LongSupplier nanoClock) {
		if (ordersPerSecond <= 0) {
			throw new IllegalArgumentException("ordersPerSecond must be > 0, was " + ordersPerSecond);
		}
		this.holder = holder;
		this.store = store;
		this.orders = orders;
		this.settings = settings;
		this.isCandidate = candidate;
		this.scheduler = scheduler;
		this.worker = scheduler.createWorker();
		this.nanoClock = nanoClock;
		this.budget = new TokenBucket(ordersPerSecond, MAX_BURST_ORDERS, nanoClock.getAsLong());
		this.worker.schedulePeriodically(this::updateDrivers, CANDIDACY_INTERVAL_MILLIS, CANDIDACY_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Takes in a bundle; an older one than before is ignored.
	 * @param bundle the bundle that is in force
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
		OrderPlanner decision = new OrderPlanner(this.holder, this.settings, this.budget, this.nanoClock.getAsLong());
		GroupDriver driver = new GroupDriver(group, decision, this.settings, this.store, this.orders, this.scheduler,
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
