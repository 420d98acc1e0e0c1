package org.burdocktray.process.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects random members. Thread safety: none.
 */
final class PeerSelection {

	private final MemberTable table;

	private final RandomGenerator random;

	PeerSelection(MemberTable table, RandomGenerator random) {
		this.table = table;
		this.random = random;
	}

	Member pickOne(List<Member> candidates) {
		return candidates.get(this.random.nextInt(candidates.size()));
	}

	List<Member> pickSeveral(int count, String exceptName) {
		List<Member> candidates = new ArrayList<>(this.table
			.findActive((member) -> member.state() == MemberState.ALIVE && !member.name().equals(exceptName)));
		int selectedCount = Math.min(count, candidates.size());
		for (int index = 0; index < selectedCount; index++) {
			Collections.swap(candidates, index, index + this.random.nextInt(candidates.size() - index));
		}
		return candidates.subList(0, selectedCount);
	}

}
