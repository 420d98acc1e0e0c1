package org.burdocktray.process.pressure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.burdocktray.model.NetworkAddress;

/**
 * Chooses the VM that takes a new request of this VM, which is under pressure. VMs are
 * drawn by free capacity, less for those with many requests of this VM in progress. The
 * VMs under pressure divide what another VM has free, and each keeps to its part by a
 * token bucket, so that they do not fill the same one together. Invariants: a VM that is
 * smaller, under pressure, without free capacity, or that has declined within
 * {@link #DECLINED_NANOS} gets none; so does one with {@link #MAX_IN_FLIGHT} requests of
 * this VM. Thread safety: none, confined to one event loop.
 */
public final class RelayChoice {

	static final int MAX_IN_FLIGHT = 64;

	static final long DECLINED_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** How much of a second's requests may be sent at once. */
	private static final double BURST_SECONDS = 0.25;

	private static final double NANOS_PER_SECOND = 1e9;

	private final RandomGenerator random;

	/** One bucket for each VM with free capacity, or that has declined of late. */
	private final Map<NetworkAddress, Bucket> buckets = new HashMap<>();

	public RelayChoice(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Chooses a VM for one request, and counts the request towards its part.
	 * @param need what this VM needs
	 * @param vms the VMs of this data centre that have reported free capacity
	 * @param isUsable whether a request can be sent to a VM at present
	 * @param inFlight the requests of this VM that are in progress at a VM
	 * @param nowNanos the current time of the monotonic clock
	 * @return a VM, empty if none takes the request
	 */
	public Optional<NetworkAddress> choose(Need need, List<VmCapacity> vms, Predicate<NetworkAddress> isUsable,
			ToIntFunction<NetworkAddress> inFlight, long nowNanos) {
		Set<NetworkAddress> reported = vms.stream().map(VmCapacity::address).collect(Collectors.toSet());
		this.buckets.entrySet()
			.removeIf((entry) -> !reported.contains(entry.getKey()) && !entry.getValue().isBlocked(nowNanos));
		List<VmCapacity> candidates = new ArrayList<>();
		List<Double> weights = new ArrayList<>();
		double totalWeight = 0;
		for (VmCapacity vm : vms) {
			if (vm.underPressure() || vm.cores() < need.ownCores() || vm.freeCores() <= 0) {
				continue;
			}
			Bucket bucket = this.buckets.computeIfAbsent(vm.address(), (address) -> new Bucket(nowNanos));
			bucket.fill(vm.freeCores() / (need.coresPerRequest() * Math.max(1, need.vmsUnderPressure())), nowNanos);
			int ownRequests = inFlight.applyAsInt(vm.address());
			if (bucket.hasToken(nowNanos) && ownRequests < MAX_IN_FLIGHT && isUsable.test(vm.address())) {
				double weight = vm.freeCores() / (1 + ownRequests);
				candidates.add(vm);
				weights.add(weight);
				totalWeight += weight;
			}
		}
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		NetworkAddress chosen = draw(candidates, weights, totalWeight);
		this.buckets.get(chosen).take();
		return Optional.of(chosen);
	}

	private NetworkAddress draw(List<VmCapacity> candidates, List<Double> weights, double totalWeight) {
		double remaining = this.random.nextDouble() * totalWeight;
		for (int i = 0; i < candidates.size() - 1; i++) {
			remaining -= weights.get(i);
			if (remaining < 0) {
				return candidates.get(i).address();
			}
		}
		return candidates.get(candidates.size() - 1).address();
	}

	/**
	 * Records that a VM has not taken a request.
	 * @param vm the VM
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordDeclined(NetworkAddress vm, long nowNanos) {
		Bucket bucket = this.buckets.get(vm);
		if (bucket != null) {
			bucket.block(nowNanos + DECLINED_NANOS);
		}
	}

	/**
	 * What a VM under pressure needs. Thread safety: immutable.
	 *
	 * @param ownCores the cores of this VM
	 * @param coresPerRequest the cores that one request a second takes
	 * @param vmsUnderPressure the VMs of the data centre that are under pressure, this
	 * one included
	 */
	public record Need(double ownCores, double coresPerRequest, int vmsUnderPressure) {

	}

	private static final class Bucket {

		private double tokens = 1;

		private long filledNanos;

		private long blockedUntilNanos;

		private Bucket(long nowNanos) {
			this.filledNanos = nowNanos;
			this.blockedUntilNanos = nowNanos;
		}

		private void fill(double tokensPerSecond, long nowNanos) {
			double added = tokensPerSecond * (nowNanos - this.filledNanos) / NANOS_PER_SECOND;
			this.tokens = Math.min(Math.max(1, BURST_SECONDS * tokensPerSecond), this.tokens + added);
			this.filledNanos = nowNanos;
		}

		private boolean hasToken(long nowNanos) {
			return this.tokens >= 1 && !isBlocked(nowNanos);
		}

		private boolean isBlocked(long nowNanos) {
			return nowNanos - this.blockedUntilNanos < 0;
		}

		private void take() {
			this.tokens--;
		}

		private void block(long untilNanos) {
			this.blockedUntilNanos = untilNanos;
		}

	}

}
