package org.burdocktray.process.demand;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.burdocktray.connection.peer.generated.DemandSum;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * Exchanges demand with the other VMs. Each VM reports to the collectors of its data
 * centre, which add the reports up and send the sums to all VMs there and to the
 * collectors of the other data centres. A VM that receives reports is a collector, so
 * there is no election. What a VM that is no collector sends and receives does not grow
 * with the fleet. Invariant: no report or sum counts after {@link #MAX_AGE_NANOS}. Thread
 * safety: none, confined to one event loop.
 */
public final class DemandExchange implements FleetDemand {

	static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** More than one VM can handle. */
	private static final double MAX_VM_REQUESTS_PER_SECOND = 1_000;

	private static final double MAX_VM_TOKENS_PER_SECOND = 2_000_000;

	private static final int MAX_VM_COUNT = 10_000;

	private final DataCentre localDataCentre;

	private final NetworkAddress ownAddress;

	private final DemandMeter meter;

	private final Map<NetworkAddress, ReceivedReport> reports = new HashMap<>();

	private final Map<SumKey, DataCentreDemand> sums = new HashMap<>();

	private final Map<DataCentre, CollectorRanking> collectors = new HashMap<>();

	private Map<NetworkAddress, DataCentre> vms = Map.of();

	private long lastSentNanos;

	/**
	 * Creates an exchange without other VMs.
	 * @param localDataCentre the data centre of this VM
	 * @param ownAddress the address at which this VM receives messages
	 * @param meter measures the demand at this VM
	 * @param nowNanos the current time of the monotonic clock
	 */
	public DemandExchange(DataCentre localDataCentre, NetworkAddress ownAddress, DemandMeter meter, long nowNanos) {
		this.localDataCentre = localDataCentre;
		this.ownAddress = ownAddress;
		this.meter = meter;
		this.lastSentNanos = nowNanos;
	}

	/**
	 * Sets the registered VMs.
	 * @param registered the data centres of the VMs by their address; may include this VM
	 */
	public void setVms(Map<NetworkAddress, DataCentre> registered) {
		this.vms = Map.copyOf(registered);
		Map<DataCentre, List<NetworkAddress>> byDataCentre = this.vms.keySet()
			.stream()
			.collect(Collectors.groupingBy(this.vms::get));
		this.collectors.keySet().retainAll(byDataCentre.keySet());
		byDataCentre.forEach(
				(dataCentre, members) -> this.collectors.computeIfAbsent(dataCentre, (key) -> new CollectorRanking())
					.setVms(members));
		this.reports.keySet().retainAll(this.vms.keySet());
	}

	/**
	 * Returns the messages that are due.
	 * @param nowNanos the current time of the monotonic clock
	 * @return the messages with their receivers, none before the interval has passed
	 */
	public List<Outgoing> tick(long nowNanos) {
		if (nowNanos - this.lastSentNanos < INTERVAL_NANOS || !this.collectors.containsKey(this.localDataCentre)) {
			return List.of();
		}
		this.lastSentNanos = nowNanos;
		removeOld(nowNanos);
		List<NetworkAddress> local = collectorsOf(this.localDataCentre, nowNanos);
		List<Outgoing> messages = new ArrayList<>();
		add(messages, SharedLoads.newBuilder().setDemand(DemandCodec.encode(this.meter.report(nowNanos))).build(),
				local);
		if (!this.reports.isEmpty() || localVms().size() == 1) {
			messages.addAll(createSums(nowNanos));
		}
		return messages;
	}

	private List<Outgoing> createSums(long nowNanos) {
		DataCentreDemand own = collect(nowNanos);
		this.sums.put(new SumKey(this.localDataCentre, this.ownAddress), own);
		List<Outgoing> messages = new ArrayList<>();
		for (DataCentreDemand known : dataCentres(nowNanos)) {
			boolean isLocal = known.dataCentre().equals(this.localDataCentre);
			add(messages, sumMessage(isLocal ? own : known, nowNanos), localVms());
		}
		List<NetworkAddress> remote = this.collectors.keySet()
			.stream()
			.filter((dataCentre) -> !dataCentre.equals(this.localDataCentre))
			.flatMap((dataCentre) -> collectorsOf(dataCentre, nowNanos).stream())
			.toList();
		add(messages, sumMessage(own, nowNanos), remote);
		return messages;
	}

	private List<NetworkAddress> localVms() {
		return this.vms.keySet().stream().filter((vm) -> this.vms.get(vm).equals(this.localDataCentre)).toList();
	}

	private DataCentreDemand collect(long nowNanos) {
		DemandReport sum = this.meter.report(nowNanos);
		for (ReceivedReport report : this.reports.values()) {
			sum = sum.plus(report.demand());
		}
		return new DataCentreDemand(this.localDataCentre, 1 + this.reports.size(), sum, nowNanos);
	}

	private static SharedLoads sumMessage(DataCentreDemand sum, long nowNanos) {
		DemandSum message = DemandCodec.encode(sum.demand())
			.toBuilder()
			.setDataCentre(sum.dataCentre().name())
			.setVmCount(sum.vmCount())
			.setAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(nowNanos - sum.measuredNanos()))
			.build();
		return SharedLoads.newBuilder().addDemandSums(message).build();
	}

	private void add(List<Outgoing> messages, SharedLoads message, List<NetworkAddress> receivers) {
		List<NetworkAddress> others = receivers.stream()
			.filter((receiver) -> !receiver.equals(this.ownAddress))
			.toList();
		if (!others.isEmpty()) {
			messages.add(new Outgoing(message, others));
		}
	}

	private List<NetworkAddress> collectorsOf(DataCentre dataCentre, long nowNanos) {
		return this.collectors.get(dataCentre).select(this.ownAddress, nowNanos);
	}

	/**
	 * Handles what another VM has sent.
	 * @param sender the address of that VM
	 * @param message its message
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void receive(NetworkAddress sender, SharedLoads message, long nowNanos) {
		DataCentre senderDataCentre = this.vms.get(sender);
		if (senderDataCentre == null) {
			return;
		}
		if (message.hasDemand() && senderDataCentre.equals(this.localDataCentre)) {
			this.reports.put(sender, new ReceivedReport(limited(DemandCodec.decode(message.getDemand())), nowNanos));
		}
		for (DemandSum sum : message.getDemandSumsList()) {
			receiveSum(sender, senderDataCentre, sum, nowNanos);
		}
	}

	// Collectors forward the sums of other data centres within their own only.
	private void receiveSum(NetworkAddress sender, DataCentre senderDataCentre, DemandSum sum, long nowNanos) {
		DataCentre dataCentre = new DataCentre(sum.getDataCentre());
		boolean isOwnSum = dataCentre.equals(senderDataCentre);
		if (!this.collectors.containsKey(dataCentre) || !(isOwnSum || senderDataCentre.equals(this.localDataCentre))) {
			return;
		}
		this.collectors.get(senderDataCentre).recordReply(sender, nowNanos);
		long measuredNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, sum.getAgeMillis()));
		int vmCount = Math.max(1, Math.min(MAX_VM_COUNT, sum.getVmCount()));
		this.sums.put(new SumKey(dataCentre, sender),
				new DataCentreDemand(dataCentre, vmCount, DemandCodec.decode(sum), measuredNanos));
	}

	private static DemandReport limited(DemandReport report) {
		Map<DemandClass, ClassLoad> classes = new HashMap<>();
		report.classes()
			.forEach((demandClass, load) -> classes.put(demandClass,
					load.limitedTo(MAX_VM_REQUESTS_PER_SECOND, MAX_VM_TOKENS_PER_SECOND)));
		Map<OrganisationShare, Double> tokens = new HashMap<>();
		report.organisationTokensPerSecond()
			.forEach((share, rate) -> tokens.put(share, Math.min(MAX_VM_TOKENS_PER_SECOND, rate)));
		return new DemandReport(classes, tokens);
	}

	@Override
	public List<DataCentreDemand> dataCentres(long nowNanos) {
		Map<DataCentre, DataCentreDemand> best = new HashMap<>();
		this.sums.values()
			.stream()
			.filter((sum) -> nowNanos - sum.measuredNanos() <= MAX_AGE_NANOS)
			.forEach((sum) -> best.merge(sum.dataCentre(), sum, DemandExchange::moreComplete));
		best.computeIfAbsent(this.localDataCentre, (missing) -> estimateLocal(nowNanos));
		return best.values().stream().sorted(Comparator.comparing((sum) -> sum.dataCentre().name())).toList();
	}

	private static DataCentreDemand moreComplete(DataCentreDemand left, DataCentreDemand right) {
		if (left.vmCount() != right.vmCount()) {
			return (left.vmCount() > right.vmCount()) ? left : right;
		}
		return (left.measuredNanos() - right.measuredNanos() >= 0) ? left : right;
	}

	// A VM that hears from nobody assumes that the others see what it sees.
	private DataCentreDemand estimateLocal(long nowNanos) {
		int vmCount = Math.max(1, localVms().size());
		return new DataCentreDemand(this.localDataCentre, vmCount, this.meter.report(nowNanos).times(vmCount),
				nowNanos);
	}

	private void removeOld(long nowNanos) {
		this.reports.values().removeIf((report) -> nowNanos - report.receivedNanos() > MAX_AGE_NANOS);
		this.sums.values().removeIf((sum) -> nowNanos - sum.measuredNanos() > MAX_AGE_NANOS);
	}

	/**
	 * A message to send. Thread safety: immutable.
	 *
	 * @param message the message
	 * @param receivers the addresses of the VMs that get it
	 */
	public record Outgoing(SharedLoads message, List<NetworkAddress> receivers) {

	}

	private record ReceivedReport(DemandReport demand, long receivedNanos) {

	}

	private record SumKey(DataCentre dataCentre, NetworkAddress collector) {

	}

}
