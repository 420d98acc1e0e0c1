package org.burdocktray.process.demand;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;

import org.burdocktray.connection.peer.generated.ClassDemand;
import org.burdocktray.connection.peer.generated.DemandSum;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against VMs that decide on the demand of a part of the fleet, and against
 * messages that grow with it.
 */
class DemandExchangeTests {

	private static final DemandClass DRAFTS = new DemandClass("drafts", 1);

	private static final List<DataCentre> DATA_CENTRES = List.of(new DataCentre("ghent"), new DataCentre("leuven"),
			new DataCentre("namur"));

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Each VM gets ten requests a second. */
	private static final double RATE_PER_VM = 10;

	@ParameterizedTest
	@ValueSource(ints = { 3, 9, 30, 95 })
	void eachVmKnowsTheDemandOfAll(int vmCount) {
		Fleet fleet = new Fleet(vmCount);
		fleet.runSeconds(10);
		fleet.exchanges.values()
			.forEach((exchange) -> assertThat(fleet.totalRate(exchange)).isCloseTo(RATE_PER_VM * vmCount,
					within(0.1 * RATE_PER_VM * vmCount)));
	}

	@Test
	void messagesOfMostVmsDoNotGrowWithTheFleet() {
		assertThat(medianMessagesPerSecond(300)).isLessThanOrEqualTo(medianMessagesPerSecond(30) + 1);
	}

	private static double medianMessagesPerSecond(int vmCount) {
		Fleet fleet = new Fleet(vmCount);
		fleet.runSeconds(10);
		return fleet.messages.values().stream().sorted().toList().get(vmCount / 2) / 10.0;
	}

	@Test
	void nextVmReplacesCollectorsThatHaveStopped() {
		Fleet fleet = new Fleet(30);
		fleet.runSeconds(5);
		Set<NetworkAddress> collectors = fleet.collectors();
		collectors.forEach(fleet.exchanges::remove);
		fleet.runSeconds(10);
		int running = 30 - collectors.size();
		fleet.exchanges.values()
			.forEach((exchange) -> assertThat(fleet.totalRate(exchange)).isCloseTo(RATE_PER_VM * running,
					within(0.1 * RATE_PER_VM * running)));
	}

	@Test
	void demandOfDataCentreThatIsCutOffIsForgotten() {
		Fleet fleet = new Fleet(9);
		fleet.runSeconds(5);
		fleet.isLinked = (from, to) -> fleet.vms.get(from).equals(fleet.vms.get(to));
		fleet.runSeconds(5);
		fleet.exchanges.values()
			.forEach((exchange) -> assertThat(exchange.dataCentres(fleet.nowNanos)).singleElement()
				.satisfies((local) -> assertThat(local.vmCount()).isEqualTo(3)));
	}

	@Test
	void vmThatHearsNobodyAssumesItsOwnDemandForTheOthers() {
		Fleet fleet = new Fleet(9);
		fleet.isLinked = (from, to) -> false;
		fleet.runSeconds(10);
		DemandExchange alone = fleet.exchanges.get(new NetworkAddress("10.0.0.7", 7_340));
		assertThat(alone.total(fleet.nowNanos).of(DRAFTS).requestsPerSecond()).isCloseTo(3 * RATE_PER_VM,
				within(0.2 * 3 * RATE_PER_VM));
	}

	/** One wrong report moved the sums of all VMs without a bound. */
	@Test
	void limitsWhatOneReportAdds() {
		Fleet fleet = new Fleet(3);
		NetworkAddress own = new NetworkAddress("10.0.0.0", 7_340);
		NetworkAddress neighbour = new NetworkAddress("10.0.0.99", 7_340);
		DemandExchange exchange = fleet.exchanges.get(own);
		exchange.setVms(Map.of(own, DATA_CENTRES.get(0), neighbour, DATA_CENTRES.get(0)));
		DemandSum wrong = DemandSum.newBuilder()
			.addClasses(ClassDemand.newBuilder().setService("drafts").setPriority(1).setRequestsPerSecond(1e30f))
			.addClasses(ClassDemand.newBuilder().setService("drafts").setPriority(2).setRequestsPerSecond(Float.NaN))
			.build();
		exchange.receive(neighbour, SharedLoads.newBuilder().setDemand(wrong).build(), 0);
		exchange.tick(TimeUnit.SECONDS.toNanos(1));
		DemandReport total = exchange.total(TimeUnit.SECONDS.toNanos(1));
		assertThat(total.of(DRAFTS).requestsPerSecond()).isLessThanOrEqualTo(1_000);
		assertThat(total.of(new DemandClass("drafts", 2)).requestsPerSecond()).isZero();
	}

	@Test
	void ignoresStrangers() {
		Fleet fleet = new Fleet(3);
		DemandExchange exchange = fleet.exchanges.get(new NetworkAddress("10.0.0.0", 7_340));
		SharedLoads message = SharedLoads.newBuilder()
			.addDemandSums(DemandSum.newBuilder().setDataCentre("leuven").setVmCount(5))
			.build();
		exchange.receive(new NetworkAddress("10.9.9.9", 7_340), message, 0);
		assertThat(exchange.dataCentres(0)).hasSize(1);
	}

	/**
	 * The exchanges of a fleet on a network without delay. Messages to VMs that have been
	 * removed are lost.
	 */
	private static final class Fleet {

		private final Map<NetworkAddress, DataCentre> vms = new LinkedHashMap<>();

		private final Map<NetworkAddress, DemandMeter> meters = new HashMap<>();

		private final Map<NetworkAddress, DemandExchange> exchanges = new LinkedHashMap<>();

		private final Map<NetworkAddress, Integer> messages = new HashMap<>();

		private BiPredicate<NetworkAddress, NetworkAddress> isLinked = (from, to) -> true;

		private long nowNanos;

		private Fleet(int vmCount) {
			for (int index = 0; index < vmCount; index++) {
				NetworkAddress address = new NetworkAddress("10.0." + index / 250 + "." + index % 250, 7_340);
				this.vms.put(address, DATA_CENTRES.get(index % DATA_CENTRES.size()));
				this.meters.put(address, new DemandMeter());
				this.messages.put(address, 0);
			}
			this.vms.forEach((address, dataCentre) -> {
				DemandExchange exchange = new DemandExchange(dataCentre, address, this.meters.get(address), 0);
				exchange.setVms(this.vms);
				this.exchanges.put(address, exchange);
			});
		}

		private void runSeconds(int seconds) {
			long endNanos = this.nowNanos + TimeUnit.SECONDS.toNanos(seconds);
			while (this.nowNanos < endNanos) {
				this.nowNanos += STEP_NANOS;
				this.exchanges.keySet()
					.forEach((address) -> this.meters.get(address)
						.recordArrival(DRAFTS, "acme", 100, 50, this.nowNanos));
				List.copyOf(this.exchanges.entrySet())
					.forEach((sender) -> sender.getValue()
						.tick(this.nowNanos)
						.forEach((outgoing) -> deliver(sender.getKey(), outgoing)));
			}
		}

		private void deliver(NetworkAddress sender, DemandExchange.Outgoing outgoing) {
			this.messages.merge(sender, outgoing.receivers().size(), Integer::sum);
			for (NetworkAddress receiver : outgoing.receivers()) {
				this.messages.merge(receiver, 1, Integer::sum);
				DemandExchange exchange = this.exchanges.get(receiver);
				if (exchange != null && this.isLinked.test(sender, receiver)) {
					exchange.receive(sender, outgoing.message(), this.nowNanos);
				}
			}
		}

		private Set<NetworkAddress> collectors() {
			return this.vms.keySet()
				.stream()
				.filter((address) -> this.messages.get(address) > 20 * this.nowNanos / TimeUnit.SECONDS.toNanos(1))
				.collect(Collectors.toSet());
		}

		private double totalRate(DemandExchange exchange) {
			return exchange.total(this.nowNanos).of(DRAFTS).requestsPerSecond();
		}

	}

}
