package org.burdocktray.process.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how evidence of several VMs is merged.
 */
class SuspectTests {

	@ParameterizedTest
	@CsvSource({ "PROVISIONAL,PROVISIONAL,PROVISIONAL", "PROVISIONAL,CONFIRMED,CONFIRMED",
			"CONFIRMED,PROVISIONAL,CONFIRMED", "PROVISIONAL,DISMISSED,DISMISSED", "DISMISSED,PROVISIONAL,DISMISSED",
			"CONFIRMED,DISMISSED,DISMISSED", "DISMISSED,CONFIRMED,DISMISSED" })
	void prevailingStateStays(EvidenceState first, EvidenceState second, EvidenceState expected) {
		Suspect suspect = new Suspect(0);
		assertThat(suspect.add(evidence(1, first))).isTrue();
		assertThat(suspect.add(evidence(1, second))).isEqualTo(first != expected);
		assertThat(suspect.crashes()).containsExactly(evidence(1, expected));
	}

	@RepeatedTest(20)
	void orderAndRepetitionOfMergesDoNotMatter(RepetitionInfo repetition) {
		Random random = new Random(repetition.getCurrentRepetition());
		List<CrashEvidence> received = new ArrayList<>();
		for (int count = 0; count < 12; count++) {
			EvidenceState state = EvidenceState.values()[random.nextInt(EvidenceState.values().length)];
			received.add(evidence(random.nextInt(5), state));
		}
		Suspect once = new Suspect(0);
		received.forEach(once::add);
		Collections.shuffle(received, random);
		Suspect twice = new Suspect(0);
		received.forEach(twice::add);
		received.forEach(twice::add);
		assertThat(twice.crashes()).isEqualTo(once.crashes());
	}

	@Test
	void onlyConfirmedCrashesQuarantine() {
		Suspect suspect = new Suspect(0);
		suspect.add(evidence(1, EvidenceState.PROVISIONAL));
		suspect.add(evidence(2, EvidenceState.CONFIRMED));
		assertThat(suspect.isHeldBack()).isTrue();
		assertThat(suspect.isQuarantined()).isFalse();
		suspect.add(evidence(1, EvidenceState.CONFIRMED));
		assertThat(suspect.isQuarantined()).isTrue();
	}

	private static CrashEvidence evidence(int number, EvidenceState state) {
		return new CrashEvidence("vm-1#" + number, "engine-" + number, 0, 1, state);
	}

}
