package org.burdocktray.process.quarantine;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which parts of prompts are held responsible for crashes, and which only came with
 * them.
 */
class PartQuarantineTests {

	private static final QuarantineSettings SETTINGS = new QuarantineSettings(3_600_000, 86_400_000, 120_000, 100,
			false);

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Quarantine quarantine = new Quarantine(SETTINGS, "vm-1");

	private final Quarantine peer = new Quarantine(SETTINGS, "vm-2");

	private int requests;

	private int engines;

	private long nowNanos;

	@Test
	void partInThreeCrashesOfDifferentRequestsIsRefused() {
		crash(this.quarantine, "first", "harmful");
		crash(this.quarantine, "first", "harmful");
		assertThat(check(this.quarantine, "other", "harmful").mayRun()).isTrue();
		answerWell("first");
		crash(this.quarantine, "first", "harmful");
		assertThat(check(this.quarantine, "other", "harmful")).isInstanceOfSatisfying(QuarantineDecision.Refuse.class,
				(refusal) -> assertThat(refusal.culprit()).isEqualTo(QuarantineDecision.Culprit.PROMPT_PART));
	}

	@Test
	void partsWithWhichAnswersBeginWellAreNotRefusedForTheirCompany() {
		for (int count = 0; count < 6; count++) {
			crash(this.quarantine, "first", "second", "harmful");
			answerWell("first", "second");
		}
		assertThat(check(this.quarantine, "first", "second")).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void partThatAlwaysCameWithAnotherIsRunByItselfToTellWhichItIs() {
		for (int count = 0; count < 3; count++) {
			crash(this.quarantine, "company", "harmful");
		}
		assertThat(check(this.quarantine, "company", "harmful")).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(check(this.quarantine, "company").mayRun()).isTrue();
		assertThat(check(this.quarantine, "harmful").mayRun()).isTrue();
		crash(this.quarantine, "harmful");
		assertThat(check(this.quarantine, "harmful")).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(check(this.quarantine, "company").mayRun()).isTrue();
	}

	/** Each of the two explained the crashes of the other, and both ran on. */
	@Test
	void twoPartsInTheSameCrashesAreBothRefused() {
		for (int count = 0; count < 4; count++) {
			String engine = nextEngine();
			crashUnder(engine, start(this.quarantine, engine, "first", "harmful"),
					start(this.quarantine, engine, "first", "harmful too"));
		}
		assertThat(check(this.quarantine, "harmful")).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(check(this.quarantine, "harmful too")).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void enginesThatCrashAtOnceDoNotConvictAPartThatManyRequestsShare() {
		List<String> wave = IntStream.range(0, 8).mapToObj((index) -> nextEngine()).toList();
		wave.forEach((engine) -> start(this.quarantine, engine, "shared"));
		wave.forEach((engine) -> this.quarantine.recordCrash(engine, this.nowNanos));
		assertThat(check(this.quarantine, "shared")).isNotInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void requestThatCrashesByItselfDoesNotConvictItsParts() {
		RequestIdentity request = identity("shared");
		for (int count = 0; count < 4; count++) {
			String engine = nextEngine();
			crashUnder(engine, this.quarantine.recordStart(request, Set.of(engine), this.nowNanos));
		}
		assertThat(this.quarantine.check(request, this.nowNanos)).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(check(this.quarantine, "shared")).isNotInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void soundRequestInCrashesThatAPartExplainsIsNotRefused() {
		RequestIdentity sound = identity("first");
		for (int count = 0; count < 3; count++) {
			String engine = nextEngine();
			crashUnder(engine, start(this.quarantine, engine, "first", "harmful"),
					this.quarantine.recordStart(sound, Set.of(engine), this.nowNanos));
		}
		answerWell("first");
		assertThat(this.quarantine.check(sound, this.nowNanos)).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void crashesAtSeveralVmsConvictAPartAtAllOfThem() {
		crash(this.quarantine, "first", "harmful");
		crash(this.peer, "other", "harmful");
		crash(this.peer, "first", "harmful");
		this.quarantine.merge(this.peer.table(this.nowNanos), this.nowNanos);
		this.peer.merge(this.quarantine.table(this.nowNanos), this.nowNanos);
		assertThat(check(this.quarantine, "harmful")).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(check(this.peer, "harmful")).isInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void silentEnginesHoldAPartBackUntilItIsKnownWhetherTheyHaveCrashed() {
		List<String> silent = IntStream.range(0, 3).mapToObj((index) -> nextEngine()).toList();
		for (String engine : silent) {
			start(this.quarantine, engine, "harmful");
			this.nowNanos += SECOND_NANOS;
			this.quarantine.recordSilence(engine, this.nowNanos);
		}
		assertThat(check(this.quarantine, "harmful")).isInstanceOf(QuarantineDecision.Wait.class);
		this.quarantine.recordResponse(silent.get(0), this.nowNanos);
		this.quarantine.recordResponse(silent.get(1), this.nowNanos);
		assertThat(check(this.quarantine, "harmful")).isNotInstanceOf(QuarantineDecision.Refuse.class);
	}

	@Test
	void quarantinedPartExpires() {
		for (int count = 0; count < 3; count++) {
			crash(this.quarantine, "harmful");
		}
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(SETTINGS.quarantineMillis()) + 2 * SECOND_NANOS;
		assertThat(check(this.quarantine, "harmful")).isInstanceOf(QuarantineDecision.Run.class);
	}

	@Test
	void inventedPartsDoNotDisplaceThoseThatCrashAgainAndAgain() {
		crash(this.quarantine, "harmful");
		crash(this.quarantine, "harmful");
		for (int count = 0; count < 20; count++) {
			int number = count;
			crash(this.quarantine,
					IntStream.range(0, 1_000).mapToObj((index) -> number + "-" + index).toArray(String[]::new));
		}
		crash(this.quarantine, "harmful");
		assertThat(check(this.quarantine, "harmful")).isInstanceOf(QuarantineDecision.Refuse.class);
		assertThat(this.quarantine.table(this.nowNanos).getQuarantineCount()).isLessThanOrEqualTo(200);
	}

	private void crash(Quarantine vm, String... parts) {
		String engine = nextEngine();
		String run = start(vm, engine, parts);
		this.nowNanos += SECOND_NANOS;
		vm.recordCrash(engine, this.nowNanos);
		vm.recordEnd(run, RunOutcome.ENDED, this.nowNanos);
		this.nowNanos += SECOND_NANOS;
	}

	private void crashUnder(String engine, String... runs) {
		this.nowNanos += SECOND_NANOS;
		this.quarantine.recordCrash(engine, this.nowNanos);
		List.of(runs).forEach((run) -> this.quarantine.recordEnd(run, RunOutcome.ENDED, this.nowNanos));
		this.nowNanos += SECOND_NANOS;
	}

	private void answerWell(String... parts) {
		String run = start(this.quarantine, nextEngine(), parts);
		this.quarantine.recordHarmless(run, this.nowNanos);
	}

	private String start(Quarantine vm, String engine, String... parts) {
		return vm.recordStart(identity(parts), Set.of(engine), this.nowNanos);
	}

	private QuarantineDecision check(Quarantine vm, String... parts) {
		return vm.check(identity(parts), this.nowNanos);
	}

	private RequestIdentity identity(String... parts) {
		int number = ++this.requests;
		List<String> partIds = IntStream.rangeClosed(0, parts.length)
			.mapToObj((index) -> (index < parts.length) ? parts[index] : "own-" + number)
			.toList();
		return RequestIdentity.of(new Fingerprint("acme", String.format("%016x%048x", number, 0)), partIds);
	}

	private String nextEngine() {
		return "engine-" + ++this.engines;
	}

}
