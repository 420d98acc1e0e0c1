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
 * Measures the cost of gossip per VM, and the time until all VMs detect a failed VM and a
 * VM that joined. Byte counts cover the serialised messages and the TCP and IP overhead.
 * The long form also measures the processor time per message; the two columns derived
 * from it are the only ones that differ between runs. Thread safety: none.
 */
public final class MembershipMeasurement implements Measurement {

	private static final double MAX_BYTES_PER_SECOND = 10_000;

	private static final double MAX_CORE_SHARE = 0.017;

	private static final long JOIN_DURATION_MILLIS = 120_000;

	private static final long DETECTION_TIMEOUT_MILLIS = 120_000;

	private static final long POLL_INTERVAL_MILLIS = 100;

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
		boolean withinBounds = true;
		for (int vms : quick ? new int[] { 9, 40 } : new int[] { 9, 40, 320 }) {
			withinBounds &= measure(out, vms, quick);
		}
		out.printf(Locale.ROOT, "bound: at most %.0f B/s sent or received by any VM: %s%n", MAX_BYTES_PER_SECOND,
				withinBounds ? "holds" : "BROKEN");
		return withinBounds;
	}

	private static boolean measure(PrintStream out, int vms, boolean quick) {
		VirtualFleet fleet = new VirtualFleet(1, MembershipSettings.defaults());
		fleet.startAll(vms, DATA_CENTRES);
		fleet.clock().runForMillis(JOIN_DURATION_MILLIS);
		Traffic traffic = measureTraffic(fleet, quick);
		VirtualVm failed = fleet.startedVms().get(fleet.startedVms().size() - 1);
		fleet.kill(failed);
		long failureDetectionMillis = millisUntil(fleet, () -> isInactiveInAllViews(fleet, failed));
		VirtualVm joined = fleet.start("vm-late", DATA_CENTRES.get(0), 1, List.of());
		long joinDetectionMillis = millisUntil(fleet, () -> isAliveInAllViews(fleet, joined));
		out.printf(Locale.ROOT, "%6d %14.0f %14.0f %12.2f %12.1f %12.1f", vms, traffic.meanBytesPerSecond(),
				traffic.maxBytesPerSecond(), traffic.messagesPerSecond(), failureDetectionMillis / 1e3,
				joinDetectionMillis / 1e3);
		boolean withinBounds = traffic.maxBytesPerSecond() <= MAX_BYTES_PER_SECOND;
		if (!quick) {
			out.printf(Locale.ROOT, " %12.1f  %10.5f", traffic.microsPerMessage(), traffic.coreShare());
			withinBounds &= traffic.coreShare() <= MAX_CORE_SHARE;
		}
		out.println();
		return withinBounds;
	}

	private static Traffic measureTraffic(VirtualFleet fleet, boolean quick) {
		int rounds = quick ? 12 : 30;
		List<VirtualVm> measuredVms = fleet.startedVms().stream().skip(3).limit(fleet.startedVms().size() / 2).toList();
		long[] sentBefore = measuredVms.stream().mapToLong(VirtualVm::sentBytes).toArray();
		long[] receivedBefore = measuredVms.stream().mapToLong(VirtualVm::receivedBytes).toArray();
		long messagesBefore = fleet.startedVms().stream().mapToLong(VirtualVm::sentMessages).sum();
		long startNanos = System.nanoTime();
		int firstReplaceableIndex = 3 + measuredVms.size();
		for (int round = 0; round < rounds; round++) {
			int vmCount = fleet.startedVms().size();
			VirtualVm replaced = fleet.startedVms().get(Math.max(firstReplaceableIndex, vmCount - 1));
			fleet.kill(replaced);
			fleet.start("vm-new-" + round, replaced.vm().dataCentre(), 1, List.of());
			fleet.clock().runForMillis(10_000);
		}
		double elapsedNanos = System.nanoTime() - startNanos;
		long messages = fleet.startedVms().stream().mapToLong(VirtualVm::sentMessages).sum() - messagesBefore;
		double seconds = rounds * 10.0;
		double meanSentPerSecond = 0;
		double maxPerSecond = 0;
		for (int index = 0; index < measuredVms.size(); index++) {
			double sentPerSecond = (measuredVms.get(index).sentBytes() - sentBefore[index]) / seconds;
			double receivedPerSecond = (measuredVms.get(index).receivedBytes() - receivedBefore[index]) / seconds;
			meanSentPerSecond += sentPerSecond / measuredVms.size();
			maxPerSecond = Math.max(maxPerSecond, Math.max(sentPerSecond, receivedPerSecond));
		}
		long responsiveVms = fleet.startedVms().stream().filter(VirtualVm::isResponsive).count();
		return new Traffic(meanSentPerSecond, maxPerSecond, messages / seconds / responsiveVms,
				elapsedNanos / 1e3 / messages);
	}

	private static long millisUntil(VirtualFleet fleet, BooleanSupplier condition) {
		long millis = 0;
		while (!condition.getAsBoolean() && millis < DETECTION_TIMEOUT_MILLIS) {
			fleet.clock().runForMillis(POLL_INTERVAL_MILLIS);
			millis += POLL_INTERVAL_MILLIS;
		}
		return millis;
	}

	private static boolean isInactiveInAllViews(VirtualFleet fleet, VirtualVm failed) {
		return responsiveOthers(fleet, failed).stream()
			.noneMatch((vm) -> vm.membership()
				.view()
				.others()
				.stream()
				.anyMatch((member) -> member.vm().equals(failed.vm()) && member.state().isActive()));
	}

	private static boolean isAliveInAllViews(VirtualFleet fleet, VirtualVm joined) {
		return responsiveOthers(fleet, joined).stream()
			.allMatch((
					vm) -> vm.membership().view().aliveOthers().stream().map(Member::vm).anyMatch(joined.vm()::equals));
	}

	private static List<VirtualVm> responsiveOthers(VirtualFleet fleet, VirtualVm excluded) {
		return fleet.startedVms().stream().filter((vm) -> vm.isResponsive() && vm != excluded).toList();
	}

	// The processor time includes the virtual network and the computation of the
	// serialised sizes. It excludes system calls and the encoding to bytes.
	private record Traffic(double meanBytesPerSecond, double maxBytesPerSecond, double messagesPerSecond,
			double microsPerMessage) {

		private double coreShare() {
			return this.messagesPerSecond * this.microsPerMessage / 1e6;
		}

	}

}
