package org.burdocktray.bench.membership;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;

import org.burdocktray.bench.Measurement;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.membership.Member;
import org.burdocktray.process.membership.MembershipSettings;

/**
 * Measures what the gossip between VMs costs each of them, and how fast all of them
 * notice a VM that died and one that joined. Bytes are those of the serialised messages
 * with the overhead of TCP and IP. In the long form the processor time for each message
 * is measured too, which is the only column that differs between runs. Thread safety:
 * none.
 */
public final class MembershipMeasurement implements Measurement {

	private static final double MAX_BYTES_PER_SECOND = 10_000;

	private static final double MAX_CORE_SHARE = 0.017;

	private static final long JOIN_MILLIS = 120_000;

	private static final long LIMIT_MILLIS = 120_000;

	private static final long STEP_MILLIS = 100;

	private static final List<DataCentre> DATA_CENTRES = List.of(new DataCentre("dc-1"), new DataCentre("dc-2"),
			new DataCentre("dc-3"), new DataCentre("dc-4"), new DataCentre("dc-5"), new DataCentre("dc-6"),
			new DataCentre("dc-7"), new DataCentre("dc-8"), new DataCentre("dc-9"));

	@Override
	public String name() {
		return "membership";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		out.println("seed 1, 9 data centres, one VM replaced every 10 s while bytes are counted");
		out.printf(Locale.ROOT, "%6s %14s %14s %12s %12s %12s%s%n", "VMs", "sent B/s mean", "max B/s", "messages/s",
				"dead s", "joined s", quick ? "" : "   us/message  core share");
		boolean holds = true;
		for (int vms : quick ? new int[] { 9, 40 } : new int[] { 9, 40, 320 }) {
			holds &= measure(out, vms, quick);
		}
		out.printf(Locale.ROOT, "bound: at most %.0f B/s sent or received by any VM: %s%n", MAX_BYTES_PER_SECOND,
				holds ? "holds" : "BROKEN");
		return holds;
	}

	private static boolean measure(PrintStream out, int vms, boolean quick) {
		VirtualFleet fleet = new VirtualFleet(1, MembershipSettings.defaults());
		fleet.startAll(vms, DATA_CENTRES);
		fleet.clock().runForMillis(JOIN_MILLIS);
		Traffic traffic = countTraffic(fleet, quick);
		VirtualVm victim = fleet.startedVms().get(fleet.startedVms().size() - 1);
		fleet.kill(victim);
		long deadMillis = millisUntil(fleet, () -> isKnownDead(fleet, victim));
		VirtualVm joined = fleet.start("vm-late", DATA_CENTRES.get(0), 1, List.of());
		long joinedMillis = millisUntil(fleet, () -> isKnownAlive(fleet, joined));
		out.printf(Locale.ROOT, "%6d %14.0f %14.0f %12.2f %12.1f %12.1f", vms, traffic.meanBytesPerSecond(),
				traffic.maxBytesPerSecond(), traffic.messagesPerSecond(), deadMillis / 1e3, joinedMillis / 1e3);
		boolean holds = traffic.maxBytesPerSecond() <= MAX_BYTES_PER_SECOND;
		if (!quick) {
			out.printf(Locale.ROOT, " %12.1f  %10.5f", traffic.microsPerMessage(), traffic.coreShare());
			holds &= traffic.coreShare() <= MAX_CORE_SHARE;
		}
		out.println();
		return holds;
	}

	private static Traffic countTraffic(VirtualFleet fleet, boolean quick) {
		int rounds = quick ? 12 : 30;
		List<VirtualVm> counted = fleet.startedVms().stream().skip(3).limit(fleet.startedVms().size() / 2).toList();
		long[] sentBefore = counted.stream().mapToLong(VirtualVm::sentBytes).toArray();
		long[] receivedBefore = counted.stream().mapToLong(VirtualVm::receivedBytes).toArray();
		long messagesBefore = fleet.startedVms().stream().mapToLong(VirtualVm::sentMessages).sum();
		long startedNanos = System.nanoTime();
		int lastCounted = 3 + counted.size();
		for (int round = 0; round < rounds; round++) {
			int size = fleet.startedVms().size();
			VirtualVm replaced = fleet.startedVms().get(Math.max(lastCounted, size - 1));
			fleet.kill(replaced);
			fleet.start("vm-new-" + round, replaced.vm().dataCentre(), 1, List.of());
			fleet.clock().runForMillis(10_000);
		}
		double elapsedNanos = System.nanoTime() - startedNanos;
		long messages = fleet.startedVms().stream().mapToLong(VirtualVm::sentMessages).sum() - messagesBefore;
		double seconds = rounds * 10.0;
		double sent = 0;
		double max = 0;
		for (int index = 0; index < counted.size(); index++) {
			double sentPerSecond = (counted.get(index).sentBytes() - sentBefore[index]) / seconds;
			double receivedPerSecond = (counted.get(index).receivedBytes() - receivedBefore[index]) / seconds;
			sent += sentPerSecond / counted.size();
			max = Math.max(max, Math.max(sentPerSecond, receivedPerSecond));
		}
		long running = fleet.startedVms().stream().filter(VirtualVm::isResponsive).count();
		return new Traffic(sent, max, messages / seconds / running, elapsedNanos / 1e3 / messages);
	}

	private static long millisUntil(VirtualFleet fleet, BooleanSupplier condition) {
		long millis = 0;
		while (!condition.getAsBoolean() && millis < LIMIT_MILLIS) {
			fleet.clock().runForMillis(STEP_MILLIS);
			millis += STEP_MILLIS;
		}
		return millis;
	}

	private static boolean isKnownDead(VirtualFleet fleet, VirtualVm victim) {
		return others(fleet, victim).stream()
			.noneMatch((vm) -> vm.membership()
				.view()
				.others()
				.stream()
				.anyMatch((member) -> member.vm().equals(victim.vm()) && member.state().isActive()));
	}

	private static boolean isKnownAlive(VirtualFleet fleet, VirtualVm joined) {
		return others(fleet, joined).stream()
			.allMatch((
					vm) -> vm.membership().view().aliveOthers().stream().map(Member::vm).anyMatch(joined.vm()::equals));
	}

	private static List<VirtualVm> others(VirtualFleet fleet, VirtualVm excluded) {
		return fleet.startedVms().stream().filter((vm) -> vm.isResponsive() && vm != excluded).toList();
	}

	// The processor time includes the virtual network and the serialised sizes, but
	// neither
	// system calls nor the encoding to bytes.
	private record Traffic(double meanBytesPerSecond, double maxBytesPerSecond, double messagesPerSecond,
			double microsPerMessage) {

		private double coreShare() {
			return this.messagesPerSecond * this.microsPerMessage / 1e6;
		}

	}

}
