package org.burdocktray.process.demand;

import java.util.Map;

import org.burdocktray.connection.peer.generated.DemandSum;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that decide without the evidence that others report.
 */
class DemandCodecTests {

	private static final DemandClass DRAFTS = new DemandClass("drafts", 2);

	@Test
	void reportIsReadAsItWasWritten() {
		DemandReport report = new DemandReport(Map.of(DRAFTS, new ClassLoad(8, 4_000, 1_024, 2, 4, 1, 4.5)),
				Map.of(new OrganisationShare("drafts", "acme"), 16.0));
		assertThat(DemandCodec.decode(DemandCodec.encode(report))).isEqualTo(report);
	}

	/** An older build reports no outcomes. */
	@Test
	void reportWithoutOutcomesHasNone() {
		DemandSum encoded = DemandCodec
			.encode(new DemandReport(Map.of(DRAFTS, new ClassLoad(8, 4_000, 1_024, 2)), Map.of()));
		assertThat(DemandCodec.decode(encoded).of(DRAFTS).latePerSecond()).isZero();
		assertThat(DemandCodec.decode(encoded).of(DRAFTS).requestsPerSecond()).isEqualTo(8);
	}

}
