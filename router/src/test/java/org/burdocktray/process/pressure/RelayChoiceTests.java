package org.burdocktray.process.pressure;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.burdocktray.model.NetworkAddress;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to a VM that has just declined one.
 */
class RelayChoiceTests {

	private static final VmCapacity VM = new VmCapacity(new NetworkAddress("10.0.0.2", 9000), 1, 1, false, 0);

	private final RelayChoice choice = new RelayChoice(new SplittableRandom(1));

	@Test
	void blockOutlastsReportsThatAreMissing() {
		assertThat(choose(0, VM)).contains(VM.address());
		this.choice.recordDeclined(VM.address(), 0);
		assertThat(choose(1)).isEmpty();
		assertThat(choose(RelayChoice.DECLINED_NANOS - 1, VM)).isEmpty();
		assertThat(choose(RelayChoice.DECLINED_NANOS, VM)).contains(VM.address());
	}

	private Optional<NetworkAddress> choose(long nowNanos, VmCapacity... vms) {
		return this.choice.choose(new RelayChoice.Need(0.25, 0.01, 1), List.of(vms), (vm) -> true, (vm) -> 0, nowNanos);
	}

}
