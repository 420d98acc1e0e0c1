package org.burdocktray.process.pressure;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import org.burdocktray.connection.peer.generated.DemandSum;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.demand.DemandExchange.Outgoing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reports of other VMs that are wrong, old, or from strangers.
 */
class CapacityExchangeTests {

	private static final NetworkAddress OWN = new NetworkAddress("10.0.0.1", 9000);

	private static final NetworkAddress COLLECTOR = new NetworkAddress("10.0.0.2", 9000);

	private static final NetworkAddress STRONG = new NetworkAddress("10.0.0.3", 9000);

	private final CapacityExchange exchange = new CapacityExchange(OWN);

	CapacityExchangeTests() {
		this.exchange.setVms(Map.of(OWN, 0.25, COLLECTOR, 1.0, STRONG, 1.5));
	}

	@ParameterizedTest
	@CsvSource({ "1.2, 0, true", "1.6, 0, false", "-0.1, 0, false", "NaN, 0, false", "Infinity, 0, false",
			"1.2, 3001, false", "1.2, -1, false", "1.2, 9223372036854775807, false" })
	void reportOutOfRangeIsDropped(double freeCores, long ageMillis, boolean isKept) {
		receive(COLLECTOR, new CapacityCodec.Entry("10.0.0.3:9000", freeCores, false, ageMillis));
		assertThat(this.exchange.vms(0)).hasSize(isKept ? 1 : 0);
	}

	/** Guards against a collector that goes on naming a VM whose report is wrong. */
	@Test
	void reportOutOfRangeRemovesTheOneBefore() {
		receiveOwn(STRONG, 1.2);
		assertThat(createSum().vms()).hasSize(1);
		receiveOwn(STRONG, 7);
		assertThat(createSum().vms()).isEmpty();
	}

	/** Guards against one collector that makes all VMs under pressure relay less. */
	@Test
	void smallestCountOfPressedVmsHolds() {
		this.exchange.receive(COLLECTOR, encodeSum(3), 0);
		this.exchange.receive(STRONG, encodeSum(1), 0);
		assertThat(this.exchange.vmsUnderPressure(0)).isEqualTo(1);
	}

	private static SharedLoads encodeSum(int vmsUnderPressure) {
		return CapacityCodec.withSum(SharedLoads.getDefaultInstance(),
				new CapacityCodec.Sum(vmsUnderPressure, List.of()));
	}

	private void receiveOwn(NetworkAddress vm, double freeCores) {
		this.exchange.receive(vm, CapacityCodec.withCapacity(SharedLoads.getDefaultInstance(),
				new CapacityCodec.Entry("", freeCores, false, 0)), 0);
	}

	private CapacityCodec.Sum createSum() {
		SharedLoads demand = SharedLoads.newBuilder().addDemandSums(DemandSum.newBuilder().setVmCount(3)).build();
		return CapacityCodec
			.readSum(this.exchange.addTo(List.of(new Outgoing(demand, List.of(STRONG))), 0, true, 0).get(0).message())
			.orElseThrow();
	}

	@Test
	void vmsThatAreNotRegisteredHereDoNotCount() {
		receive(COLLECTOR, new CapacityCodec.Entry("10.9.9.9:9000", 0.1, false, 0));
		receive(COLLECTOR, new CapacityCodec.Entry("nonsense", 0.1, false, 0));
		receive(new NetworkAddress("10.9.9.9", 9000), new CapacityCodec.Entry("10.0.0.3:9000", 0.1, false, 0));
		assertThat(this.exchange.vms(0)).isEmpty();
	}

	@Test
	void reportExpiresAndIsReplacedByTheNextSum() {
		receive(COLLECTOR, new CapacityCodec.Entry("10.0.0.3:9000", 1, false, 1_000));
		assertThat(this.exchange.vms(TimeUnit.SECONDS.toNanos(2))).hasSize(1);
		assertThat(this.exchange.vms(TimeUnit.MILLISECONDS.toNanos(2_001))).isEmpty();
		receive(COLLECTOR, new CapacityCodec.Entry("10.0.0.3:9000", 1, false, 0));
		receive(COLLECTOR);
		assertThat(this.exchange.vms(0)).isEmpty();
	}

	@Test
	void messagesReadByOtherBuildsKeepTheirMeaning() throws InvalidProtocolBufferException {
		SharedLoads demand = SharedLoads.newBuilder().addDemandSums(DemandSum.newBuilder().setVmCount(3)).build();
		SharedLoads sent = this.exchange.addTo(List.of(new Outgoing(demand, List.of(STRONG))), 0.1, true, 0)
			.get(0)
			.message();
		SharedLoads received = SharedLoads.parseFrom(sent.toByteArray());
		assertThat(received.getDemandSumsList()).isEqualTo(demand.getDemandSumsList());
		assertThat(received.getAsksForRelay()).isFalse();
		assertThat(CapacityCodec.readSum(received)).hasValueSatisfying((sum) -> {
			assertThat(sum.vmsUnderPressure()).isEqualTo(1);
			assertThat(sum.vms()).isEmpty();
		});
	}

	private void receive(NetworkAddress collector, CapacityCodec.Entry... vms) {
		this.exchange.receive(collector,
				CapacityCodec.withSum(SharedLoads.getDefaultInstance(), new CapacityCodec.Sum(0, List.of(vms))), 0);
	}

}
