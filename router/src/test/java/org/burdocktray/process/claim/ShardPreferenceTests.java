package org.burdocktray.process.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the selection of a VM for a shard.
 */
class ShardPreferenceTests {

	private static final int SHARDS = 900;

	private static final List<String> VMS = IntStream.range(0, 9).mapToObj((index) -> "ghent-e" + index).toList();

	@Test
	void distributesShardsEvenly() {
		for (String vm : VMS) {
			long share = IntStream.range(0, SHARDS).filter((shard) -> preferred(shard, VMS).equals(vm)).count();
			assertThat(share).as(vm).isBetween(60L, 150L);
		}
	}

	@Test
	void reassignsOnlyShardsOfLeavingVm() {
		List<String> remaining = new ArrayList<>(VMS);
		remaining.remove("ghent-e4");
		for (int shard = 0; shard < SHARDS; shard++) {
			String before = preferred(shard, VMS);
			if (!before.equals("ghent-e4")) {
				assertThat(preferred(shard, remaining)).isEqualTo(before);
			}
		}
	}

	@Test
	void selectsNoVmFromEmptyList() {
		assertThat(ShardPreference.preferred(1, List.of())).isEmpty();
	}

	private static String preferred(int shard, List<String> vms) {
		return ShardPreference.preferred(shard, vms).orElseThrow();
	}

}
