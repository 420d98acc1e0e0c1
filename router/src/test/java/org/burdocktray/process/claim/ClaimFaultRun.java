package org.burdocktray.process.claim;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.model.Verdict;

/**
 * A seeded run in virtual time: VMs with one registry each on a store with injected
 * faults, callers that repeat requests with the same key, and a service that records each
 * execution. Thread safety: confined to one thread.
 */
final class ClaimFaultRun {

	static final long UNKNOWN_AFTER_SECONDS = 5;

	private static final List<String> DATA_CENTRES = List.of("ghent", "leuven", "namur");

	private static final int VM_COUNT = 6;

	private static final int KEY_COUNT = 8;

	private static final int MAX_ATTEMPTS = 6;

	private static final int FAULT_PERCENT = 15;

	private static final long START_WINDOW_MILLIS = 15_000;

	private static final long DEADLINE_MILLIS = 2_000;

	private static final long CALLER_TIMEOUT_MILLIS = 4_000;

	private static final long END_MILLIS = 120_000;

	private final TestScheduler time = new TestScheduler();

	private final Map<Fault, Integer> faults = new EnumMap<>(Fault.class);

	private final List<FakeVm> vms = new ArrayList<>();

	private final List<Attempt> attempts = new ArrayList<>();

	private final Map<String, Integer> executionsByKey = new TreeMap<>();

	private final Set<Integer> executedRequests = new HashSet<>();

	private final Set<Integer> refusedAsNotRun = new HashSet<>();

	private final Set<String> disconnectedDataCentres = new HashSet<>();

	private final Set<String> killedVms = new HashSet<>();

	private final Set<String> recordedUnknown = new HashSet<>();

	private final SplittableRandom random;

	private final FakeStore store;

	private final BiFunction<ClaimFaultRun, FakeVm, ClaimRegistry> registryFactory;

	ClaimFaultRun(long seed, BiFunction<ClaimFaultRun, FakeVm, ClaimRegistry> registryFactory) {
		this.random = new SplittableRandom(seed);
		this.registryFactory = registryFactory;
		this.store = new FakeStore(this.time, this.random.split(), FAULT_PERCENT, this.faults);
		for (int index = 0; index < VM_COUNT; index++) {
			this.vms.add(createVm(index));
		}
	}

	Report run() {
		for (int index = 0; index < KEY_COUNT; index++) {
			scheduleKey("key-" + index);
		}
		scheduleOutages();
		this.time.advanceTimeBy(END_MILLIS, TimeUnit.MILLISECONDS);
		int keysRunTwice = (int) this.executionsByKey.values().stream().filter((count) -> count > 1).count();
		int untrueNotRun = (int) this.refusedAsNotRun.stream().filter(this.executedRequests::contains).count();
		int late = (int) this.attempts.stream().filter(Attempt::isLate).count();
		return new Report(keysRunTwice, untrueNotRun, late, leakedClaims(), this.executedRequests.size(),
				this.attempts.size(), this.faults);
	}

	// Counts open entries whose VM was not killed and did not record them as unknown.
	private int leakedClaims() {
		return (int) this.store.objects()
			.stream()
			.filter((object) -> object.key().startsWith(StoreClaimRegistry.KEY_PREFIX))
			.flatMap((object) -> ClaimTableCodec.decode(object.value()).get().values().stream())
			.filter((entry) -> isOpenOnRunningVm(entry) && !this.recordedUnknown.contains(entry.claimId()))
			.count();
	}

	private boolean isOpenOnRunningVm(ClaimEntry entry) {
		if (entry instanceof ClaimEntry.Claimed claimed) {
			return !this.killedVms.contains(claimed.vm());
		}
		return entry instanceof ClaimEntry.Unknown unknown && !this.killedVms.contains(unknown.vm());
	}

	ClaimRegistry storeRegistry(FakeVm vm, ClaimParameters parameters) {
		FakePeers peers = new FakePeers(() -> vm, vm.name(), this::preferredVm,
				(target) -> isConnected(vm.dataCentre(), target.dataCentre()), this.random.split(), this.faults);
		return new StoreClaimRegistry(vm.name(), this.store.connect(vm.dataCentre(), vm.scheduler()), peers, parameters,
				vm.scheduler(), vm.clock(), this.random.split());
	}

	ClaimRegistry leaseRegistry(FakeVm vm) {
		return new LeaseRegistry(this.store.connect(vm.dataCentre(), vm.scheduler()), vm);
	}

	private FakeVm createVm(int index) {
		String dataCentre = DATA_CENTRES.get(index % DATA_CENTRES.size());
		return new FakeVm("vm-" + index, dataCentre, this.time, (vm) -> this.registryFactory.apply(this, vm));
	}

	private FakeVm preferredVm(int shard) {
		String name = ShardPreference.preferred(shard, FakeVm.names(this.vms)).orElseThrow();
		return this.vms.stream().filter((vm) -> vm.name().equals(name)).findFirst().orElseThrow();
	}

	private boolean isConnected(String source, String target) {
		return source.equals(target)
				|| !(this.disconnectedDataCentres.contains(source) || this.disconnectedDataCentres.contains(target));
	}

	private void scheduleKey(String key) {
		long startMillis = this.random.nextLong(START_WINDOW_MILLIS);
		if (this.random.nextInt(4) == 0) {
			count(Fault.SAME_KEY_EVERYWHERE);
			schedule(startMillis, () -> List.copyOf(this.vms).forEach((vm) -> send(vm, key, MAX_ATTEMPTS)));
			return;
		}
		schedule(startMillis, () -> send(randomVm(), key, 1));
	}

	private void scheduleOutages() {
		if (this.random.nextInt(3) == 0) {
			long startMillis = this.random.nextLong(START_WINDOW_MILLIS);
			schedule(startMillis, () -> this.store.setOutage(true));
			schedule(startMillis + 1 + this.random.nextInt(8_000), () -> this.store.setOutage(false));
			count(Fault.OUTAGE);
		}
		if (this.random.nextInt(3) == 0) {
			long startMillis = this.random.nextLong(START_WINDOW_MILLIS);
			String dataCentre = DATA_CENTRES.get(this.random.nextInt(DATA_CENTRES.size()));
			schedule(startMillis, () -> setDisconnected(dataCentre, true));
			schedule(startMillis + 1 + this.random.nextInt(8_000), () -> setDisconnected(dataCentre, false));
			count(Fault.DATA_CENTRE_CUT);
		}
	}

	private void setDisconnected(String dataCentre, boolean disconnected) {
		this.store.setDisconnected(dataCentre, disconnected);
		if (disconnected) {
			this.disconnectedDataCentres.add(dataCentre);
			return;
		}
		this.disconnectedDataCentres.remove(dataCentre);
	}

	private FakeVm randomVm() {
		return this.vms.get(this.random.nextInt(this.vms.size()));
	}

	private void send(FakeVm vm, String key, int attemptNumber) {
		Attempt attempt = new Attempt(this.attempts.size(), key, attemptNumber, vm,
				this.time.now(TimeUnit.NANOSECONDS));
		this.attempts.add(attempt);
		ClaimRequest request = new ClaimRequest("dairy", key, "00112233445566778899", DEADLINE_MILLIS);
		vm.scheduler().run(() -> vm.registry().claim(request).subscribe((decision) -> onDecision(attempt, decision)));
		schedule(CALLER_TIMEOUT_MILLIS, () -> {
			if (!attempt.completed) {
				attempt.completed = true;
				retry(attempt, 0);
			}
		});
	}

	private void retry(Attempt attempt, long delayMillis) {
		if (attempt.number >= MAX_ATTEMPTS) {
			return;
		}
		count(Fault.RETRY_WITH_SAME_KEY);
		schedule(delayMillis, () -> send(randomVm(), attempt.key, attempt.number + 1));
	}

	private void onDecision(Attempt attempt, ClaimDecision decision) {
		attempt.decidedNanos = this.time.now(TimeUnit.NANOSECONDS);
		if (decision instanceof ClaimDecision.Refused refused) {
			onRefused(attempt, refused.refusal());
		}
		else if (decision instanceof ClaimDecision.Granted granted) {
			onGranted(attempt, granted.ticket());
		}
		else {
			attempt.completed = true;
		}
	}

	private void onRefused(Attempt attempt, Refusal refusal) {
		if (refusal.verdict() == Verdict.NOT_RUN) {
			this.refusedAsNotRun.add(attempt.requestId);
		}
		if (attempt.completed) {
			return;
		}
		attempt.completed = true;
		retry(attempt, refusal.retryAfterMillis().orElse(1_000));
	}

	private void onGranted(Attempt attempt, ClaimTicket ticket) {
		PausableScheduler vm = attempt.vm.scheduler();
		int percentile = this.random.nextInt(100);
		if (percentile < 5) {
			count(Fault.KILLED_BEFORE_DISPATCH);
			kill(attempt.vm);
			return;
		}
		if (percentile < 15) {
			attempt.vm.registry().recordNotRun(ticket).subscribe();
			onRefused(attempt, new Refusal(Verdict.NOT_RUN, RefusalReason.NO_ROUTE, "", OptionalLong.of(100)));
			return;
		}
		vm.runAfter(this.random.nextInt(20), () -> dispatch(attempt, ticket));
		if (percentile < 30) {
			count(Fault.PAUSED_BEFORE_DISPATCH);
			attempt.vm.pauseFor(DEADLINE_MILLIS + this.random.nextInt(10_000));
		}
	}

	private void dispatch(Attempt attempt, ClaimTicket ticket) {
		this.executionsByKey.merge(attempt.key, 1, Integer::sum);
		this.executedRequests.add(attempt.requestId);
		if (this.random.nextInt(100) < 10) {
			count(Fault.KILLED_BEFORE_RECORD);
			kill(attempt.vm);
			return;
		}
		attempt.vm.scheduler().runAfter(10 + this.random.nextInt(200), () -> finish(attempt, ticket));
	}

	private void finish(Attempt attempt, ClaimTicket ticket) {
		attempt.completed = true;
		if (this.random.nextInt(100) < 10) {
			this.recordedUnknown.add(ticket.claimId());
			attempt.vm.registry().recordUnknown(ticket).subscribe();
			retry(attempt, 500);
			return;
		}
		attempt.vm.registry().recordResponse(ticket, new RecordedResponse(200, "text/plain", "done", true)).subscribe();
	}

	private void kill(FakeVm vm) {
		vm.scheduler().kill();
		this.killedVms.add(vm.name());
		int index = this.vms.indexOf(vm);
		if (index >= 0) {
			this.vms.set(index, createVm(index));
		}
	}

	private void schedule(long delayMillis, Runnable task) {
		this.time.scheduleDirect(task, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void count(Fault fault) {
		this.faults.merge(fault, 1, Integer::sum);
	}

	/**
	 * The results of a run.
	 *
	 * @param keysRunTwice the number of keys that the service executed more than once
	 * @param untrueNotRun the number of executed requests that were refused as not run
	 * @param late the number of claims decided after their deadline or not at all
	 * @param leakedClaims the number of keys left without an outcome although their VM
	 * was not killed
	 * @param executions the total number of executions
	 * @param attempts the total number of requests
	 * @param faults the number of occurrences of each fault
	 */
	record Report(int keysRunTwice, int untrueNotRun, int late, int leakedClaims, int executions, int attempts,
			Map<Fault, Integer> faults) {

	}

	private static final class Attempt {

		private final int requestId;

		private final String key;

		private final int number;

		private final FakeVm vm;

		private final long startNanos;

		private boolean completed;

		private long decidedNanos = Long.MAX_VALUE;

		Attempt(int requestId, String key, int number, FakeVm vm, long startNanos) {
			this.requestId = requestId;
			this.key = key;
			this.number = number;
			this.vm = vm;
			this.startNanos = startNanos;
		}

		boolean isLate() {
			return this.decidedNanos > this.startNanos + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS)
					&& !this.vm.wasStoppedSince(this.startNanos);
		}

	}

}
