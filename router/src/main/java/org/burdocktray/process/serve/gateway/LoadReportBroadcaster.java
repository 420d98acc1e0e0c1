package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.burdocktray.connection.peer.generated.SharedLoad;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReportShareInterval;

/**
 * Sends the load reports of engines to the other VMs of this data centre, in datagrams
 * that may be lost. The receiver uses reports only as hints for the choice of engines.
 * Thread safety: none, confined to one event loop.
 */
final class LoadReportBroadcaster {

	/** Keeps a datagram within one network packet. */
	private static final int MAX_LOADS_PER_DATAGRAM = 16;

	private final VmDatagrams datagrams;

	private final Listener listener;

	private final Map<String, PendingReport> pending = new HashMap<>();

	private final ReportShareInterval interval = new ReportShareInterval(System.nanoTime());

	private List<NetworkAddress> peers = List.of();

	LoadReportBroadcaster(VmDatagrams datagrams, Listener listener) {
		this.datagrams = datagrams;
		this.listener = listener;
	}

	/**
	 * Sets the VMs of this data centre.
	 * @param addresses their addresses; may include this VM's own
	 */
	void setPeers(List<NetworkAddress> addresses) {
		this.peers = List.copyOf(addresses);
	}

	/**
	 * Adds an engine's report to the next {@link #flush}.
	 * @param engine the engine
	 * @param report its report, or the reason why there is none
	 */
	void add(Replica engine, Either<String, LoadReport> report) {
		this.pending.put(engine.id(), new PendingReport(engine, report, System.nanoTime()));
	}

	/** Drops the reports that were not sent yet, since this VM is cut off. */
	void discardPending() {
		this.pending.clear();
	}

	/** Sends the reports that were added since the last time, if that is due. */
	void flush() {
		boolean isAnySilent = this.pending.values().stream().anyMatch((report) -> report.report().isLeft());
		if (this.pending.isEmpty() || !this.interval.isDue(this.peers.size(), isAnySilent, System.nanoTime())) {
			return;
		}
		SharedLoads.Builder message = SharedLoads.newBuilder();
		for (PendingReport pendingReport : List.copyOf(this.pending.values())) {
			message.addLoads(encode(pendingReport));
			if (message.getLoadsCount() == MAX_LOADS_PER_DATAGRAM) {
				this.datagrams.send(message.build(), this.peers);
				message = SharedLoads.newBuilder();
			}
		}
		if (message.getLoadsCount() > 0) {
			this.datagrams.send(message.build(), this.peers);
		}
		this.pending.clear();
	}

	/**
	 * Passes on the reports that another VM has sent.
	 * @param vm the address of that VM
	 * @param message the message of that VM
	 */
	void receive(NetworkAddress vm, SharedLoads message) {
		message.getLoadsList().forEach((load) -> decode(vm, load));
	}

	private void decode(NetworkAddress vm, SharedLoad load) {
		Optional<LoadReport> report = load.getSilent() ? Optional.empty()
				: Optional.of(new LoadReport(load.getBornMillis(), false, 0, Optional.empty(), load.getRunning(),
						load.getQueued(), load.getKvUsed(), load.getKvTotal(), load.getSlowness(), List.of()));
		this.listener.onPeerReport(vm, load.getEngine(), load.getBornMillis(), report);
	}

	private static SharedLoad encode(PendingReport pendingReport) {
		long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - pendingReport.receivedNanos());
		SharedLoad.Builder load = SharedLoad.newBuilder()
			.setEngine(pendingReport.engine().id())
			.setBornMillis(pendingReport.engine().startedAtMillis())
			.setAgeMillis((int) ageMillis)
			.setSilent(pendingReport.report().isLeft());
		pendingReport.report()
			.peek((loadReport) -> load.setRunning(loadReport.running())
				.setQueued(loadReport.queued())
				.setKvUsed(loadReport.kvUsed())
				.setKvTotal(loadReport.kvTotal())
				.setSlowness(loadReport.slowdownFactor()));
		return load.build();
	}

	/**
	 * Receives the reports that other VMs send.
	 */
	interface Listener {

		/**
		 * Handles the report that another VM received from an engine.
		 * @param vm the address of that VM
		 * @param engineId the id of the engine
		 * @param startedAtMillis when the engine started, in milliseconds since 1970
		 * @param report its report, empty when the engine returned none
		 */
		void onPeerReport(NetworkAddress vm, String engineId, long startedAtMillis, Optional<LoadReport> report);

	}

	private record PendingReport(Replica engine, Either<String, LoadReport> report, long receivedNanos) {

	}

}
