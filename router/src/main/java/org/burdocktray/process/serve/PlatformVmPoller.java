package org.burdocktray.process.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.burdocktray.connection.platform.PlatformVm;
import org.burdocktray.connection.platform.PlatformVms;
import org.burdocktray.model.Vm;
import org.burdocktray.process.load.ListedUpstream;
import org.burdocktray.process.load.UpstreamDrain;
import org.burdocktray.process.membership.MembershipLoop;

/**
 * Polls the platform's list of VMs and passes it to the membership and the upstream
 * drain. The poll interval grows with the size of the fleet, so that all VMs together
 * stay within {@value #MAX_FLEET_READS_PER_SECOND} reads per second, and with the length
 * of the list, so that this VM reads at most {@value #MAX_LIST_BYTES_PER_SECOND} bytes
 * per second on average. Thread safety: {@link #pollIfDue} must be called by one thread.
 */
final class PlatformVmPoller {

	static final long CHECK_INTERVAL_MILLIS = 250;

	private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long MAX_FLEET_READS_PER_SECOND = 100;

	private static final long BYTES_PER_LISTED_VM = 82;

	private static final long MAX_LIST_BYTES_PER_SECOND = 4096;

	private final PlatformVms platform;

	private final MembershipLoop membership;

	private final UpstreamDrain drain;

	private final Supplier<Set<String>> upstreamNames;

	private volatile int listedVms;

	private long nextPollNanos = System.nanoTime();

	PlatformVmPoller(PlatformVms platform, MembershipLoop membership, UpstreamDrain drain,
			Supplier<Set<String>> upstreamNames) {
		this.platform = platform;
		this.membership = membership;
		this.drain = drain;
		this.upstreamNames = upstreamNames;
	}

	void pollIfDue() {
		long nowNanos = System.nanoTime();
		if (nowNanos - this.nextPollNanos < 0) {
			return;
		}
		this.nextPollNanos = nowNanos + intervalNanos();
		this.platform.listVms().subscribe((response) -> response.forEach(this::applyList));
	}

	private long intervalNanos() {
		long vms = 1 + this.membership.view().aliveOthers().size();
		long readBudgetNanos = TimeUnit.SECONDS.toNanos(1) * vms / MAX_FLEET_READS_PER_SECOND;
		long byteBudgetNanos = TimeUnit.SECONDS.toNanos(1) * this.listedVms * BYTES_PER_LISTED_VM
				/ MAX_LIST_BYTES_PER_SECOND;
		return Math.max(MIN_INTERVAL_NANOS, Math.max(readBudgetNanos, byteBudgetNanos));
	}

	private void applyList(List<PlatformVm> listed) {
		this.listedVms = listed.size();
		Set<String> upstreams = this.upstreamNames.get();
		List<ListedUpstream> listedUpstreams = new ArrayList<>();
		List<Vm> entryVms = new ArrayList<>();
		for (PlatformVm vm : listed) {
			if (upstreams.contains(vm.name())) {
				listedUpstreams.add(new ListedUpstream(vm.name(), vm.leaving()));
			}
			else if (!vm.leaving()) {
				entryVms.add(new Vm(vm.name(), vm.dataCentre(), vm.address()));
			}
		}
		this.membership.onPlatformList(entryVms);
		this.membership.submit((nowNanos) -> this.drain.onPlatformList(listedUpstreams, nowNanos));
	}

}
