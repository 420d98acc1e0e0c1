package org.burdocktray.process.serve.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.burdocktray.process.balance.DataCentreLoad;
import org.burdocktray.process.overload.AdmissionThreshold;
import org.burdocktray.process.placement.PlacementChange;
import org.burdocktray.process.pressure.PressureState;
import org.burdocktray.process.pressure.ResourcePressure;
import org.burdocktray.process.watch.WatchListener;

/**
 * The metrics of a gateway. Label values come from bounded sets. Thread safety: can be
 * used from any thread.
 */
final class GatewayMetrics implements WatchListener {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double MILLIS_PER_SECOND = 1e3;

	private static final double[] LATENCY_BUCKET_BOUNDS_SECONDS = { 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
			20 };

	private static final double[] DELAY_BUCKET_BOUNDS_SECONDS = { 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

	private static final double[] RATIO_BUCKET_BOUNDS = { 0.25, 0.5, 0.8, 1.25, 2, 4, 8 };

	private static final int MAX_SHED_ORGANISATIONS = 32;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final LongAdder sentBytes = new LongAdder();

	private final Counter requests = Counter.builder()
		.name("burdocktray_gateway_requests_total")
		.help("Requests that got their final answer, by its status")
		.labelNames("status", "ran")
		.register(this.registry);

	private final Counter attempts = Counter.builder()
		.name("burdocktray_gateway_attempts_total")
		.help("Attempts at replicas by how they ended")
		.labelNames("outcome")
		.register(this.registry);

	private final Counter successors = Counter.builder()
		.name("burdocktray_gateway_successors_total")
		.help("Runs started beside a silent run of the same request")
		.register(this.registry);

	private final Counter hedges = Counter.builder()
		.name("burdocktray_gateway_hedges_total")
		.help("Hedged runs, by what became of them")
		.labelNames("result")
		.register(this.registry);

	private final Counter skippedHedges = Counter.builder()
		.name("burdocktray_gateway_hedges_skipped_total")
		.help("Late requests that got no hedged run, by the reason")
		.labelNames("reason")
		.register(this.registry);

	private final Counter hedgeLosers = Counter.builder()
		.name("burdocktray_gateway_hedge_losers_total")
		.help("Runs cancelled since the other run of a hedged request has won, by whether they had responded")
		.labelNames("responded")
		.register(this.registry);

	private final Counter hedgeWasteSeconds = Counter.builder()
		.name("burdocktray_gateway_hedge_waste_seconds_total")
		.help("Time for which runs were in progress that lost to the other run of a hedged request")
		.register(this.registry);

	private final Counter hedgeWasteTokens = Counter.builder()
		.name("burdocktray_gateway_hedge_waste_tokens_total")
		.help("Prompt tokens of runs that lost to the other run of a hedged request")
		.register(this.registry);

	private final Counter brokenOffResponses = Counter.builder()
		.name("burdocktray_gateway_broken_off_responses_total")
		.help("Responses that this VM broke off after their start")
		.register(this.registry);

	private final Counter oversizedResponses = Counter.builder()
		.name("burdocktray_gateway_oversized_responses_total")
		.help("Responses of replicas that this VM gave up for their size")
		.register(this.registry);

	private final Counter foreignAnswers = Counter.builder()
		.name("burdocktray_gateway_foreign_answers_total")
		.help("Answers read on connections to replicas that named another request than the one in progress, by service")
		.labelNames("service")
		.register(this.registry);

	private final Counter mergedAnswers = Counter.builder()
		.name("burdocktray_gateway_merged_answers_total")
		.help("Answers of replicas that hold a part of another one, by service")
		.labelNames("service")
		.register(this.registry);

	private final Counter replicaCrashes = Counter.builder()
		.name("burdocktray_gateway_replica_crashes_total")
		.help("Replicas that crashed under requests of this VM")
		.register(this.registry);

	private final Counter quarantineRefusals = Counter.builder()
		.name("burdocktray_gateway_quarantine_refusals_total")
		.help("Requests ended because they are quarantined")
		.register(this.registry);

	private final Histogram firstByte = Histogram.builder()
		.name("burdocktray_gateway_first_byte_seconds")
		.help("Time from a request's arrival to the first byte of its answer")
		.classicOnly()
		.classicUpperBounds(LATENCY_BUCKET_BOUNDS_SECONDS)
		.register(this.registry);

	private final Histogram eventLoopDelay = Histogram.builder()
		.name("burdocktray_gateway_event_loop_delay_seconds")
		.help("How late the periodic work of the event loop runs")
		.classicOnly()
		.classicUpperBounds(DELAY_BUCKET_BOUNDS_SECONDS)
		.register(this.registry);

	private final Gauge inProgress = Gauge.builder()
		.name("burdocktray_gateway_requests_in_progress")
		.help("Requests without their final answer")
		.register(this.registry);

	private final Gauge bodyBytes = Gauge.builder()
		.name("burdocktray_gateway_body_bytes")
		.help("Memory for the bodies of requests in progress")
		.register(this.registry);

	private final Counter bodyRejections = Counter.builder()
		.name("burdocktray_gateway_body_rejections_total")
		.help("Requests rejected because the bodies in progress hold too many bytes")
		.register(this.registry);

	private final Counter pauses = Counter.builder()
		.name("burdocktray_gateway_pauses_total")
		.help("Responses of replicas that asked for a time without requests")
		.register(this.registry);

	private final Counter leavingReplicas = Counter.builder()
		.name("burdocktray_gateway_leaving_replicas_total")
		.help("Replicas that said in a response that they leave")
		.register(this.registry);

	private final Gauge cutOff = Gauge.builder()
		.name("burdocktray_gateway_cut_off")
		.help("Whether this VM reaches no replica: 1 or 0")
		.register(this.registry);

	private final Counter relays = Counter.builder()
		.name("burdocktray_gateway_relays_total")
		.help("Requests relayed between VMs, sent or received, by what became of them")
		.labelNames("direction", "result")
		.register(this.registry);

	private final Counter storeCalls = Counter.builder()
		.name("burdocktray_gateway_store_calls_total")
		.help("Calls to the platform's store by kind of object, a waiting watch counted as one")
		.labelNames("kind", "call")
		.register(this.registry);

	private final Counter watchCalls = Counter.builder()
		.name("burdocktray_gateway_watch_calls_total")
		.help("Calls for objects of the store by kind, by who was asked and by result; a gap is filled by a listing")
		.labelNames("kind", "source", "result")
		.register(this.registry);

	private final Counter watchAnswers = Counter.builder()
		.name("burdocktray_gateway_watch_answers_total")
		.help("Answers to other VMs that asked for objects of the store")
		.labelNames("kind", "result")
		.register(this.registry);

	private final Histogram watchAge = Histogram.builder()
		.name("burdocktray_gateway_watch_age_seconds")
		.help("Age of the state of the store that another VM has passed on, when it was received")
		.labelNames("kind")
		.classicOnly()
		.classicUpperBounds(LATENCY_BUCKET_BOUNDS_SECONDS)
		.register(this.registry);

	private final Gauge watching = Gauge.builder()
		.name("burdocktray_gateway_watching")
		.help("Whether this VM watches the store: 1 or 0")
		.register(this.registry);

	private final Gauge replicasHeard = Gauge.builder()
		.name("burdocktray_gateway_replicas_heard")
		.help("Replicas that have sent something to this VM in the last two seconds")
		.register(this.registry);

	private final Counter silentReports = Counter.builder()
		.name("burdocktray_gateway_silent_engines_total")
		.help("Engines that gave no report, by who asked them, and whether this VM has heard from them meanwhile")
		.labelNames("asked_by", "heard")
		.register(this.registry);

	private final Counter pathChoices = Counter.builder()
		.name("burdocktray_gateway_path_choices_total")
		.help("Paths chosen for runs, by whether they were drawn by flow or found by search")
		.labelNames("by")
		.register(this.registry);

	private final Counter layersAssigned = Counter.builder()
		.name("burdocktray_gateway_layers_assigned_total")
		.help("Orders to load layers that this VM sent while balancing was in effect, by reason")
		.labelNames("reason")
		.register(this.registry);

	private final Gauge dataCentreDemand = Gauge.builder()
		.name("burdocktray_gateway_data_centre_demand")
		.help("Typical requests per second that are expected in a data centre, by service")
		.labelNames("service", "data_centre")
		.register(this.registry);

	private final Gauge dataCentreCapacity = Gauge.builder()
		.name("burdocktray_gateway_data_centre_capacity")
		.help("Typical requests per second that the engines of a data centre bear within the targets, by service")
		.labelNames("service", "data_centre")
		.register(this.registry);

	private final Gauge dataCentreShare = Gauge.builder()
		.name("burdocktray_gateway_data_centre_share")
		.help("Share of the requests of this VM's data centre that a data centre serves, by service")
		.labelNames("service", "data_centre")
		.register(this.registry);

	private final Gauge pressureLevel = Gauge.builder()
		.name("burdocktray_gateway_pressure_level")
		.help("The use of a resource of this VM relative to its limit, by resource")
		.labelNames("resource")
		.register(this.registry);

	private final Gauge pressureState = Gauge.builder()
		.name("burdocktray_gateway_pressure_state")
		.help("Whether this VM is in a state of pressure: 1 or 0")
		.labelNames("state")
		.register(this.registry);

	private final Counter pressureRequests = Counter.builder()
		.name("burdocktray_gateway_pressure_requests_total")
		.help("New requests that this VM did not serve itself under pressure, by what became of them")
		.labelNames("result")
		.register(this.registry);

	private final Gauge admissionThreshold = Gauge.builder()
		.name("burdocktray_gateway_admission_threshold")
		.help("The most urgent priority of which requests are rejected for load, by service; -1 while none are")
		.labelNames("service")
		.register(this.registry);

	private final Gauge demandRatio = Gauge.builder()
		.name("burdocktray_gateway_demand_ratio")
		.help("The demand of the fleet as a part of its estimated capacity, by service")
		.labelNames("service")
		.register(this.registry);

	private final Gauge availableCapacityRatio = Gauge.builder()
		.name("burdocktray_gateway_available_capacity_ratio")
		.help("The part of the fleet's estimated capacity that no demand needs, by service")
		.labelNames("service")
		.register(this.registry);

	private final Gauge lateRatio = Gauge.builder()
		.name("burdocktray_gateway_late_ratio")
		.help("The share of admitted requests that the fleet serves late, by service")
		.labelNames("service")
		.register(this.registry);

	private final Counter shedRequests = Counter.builder()
		.name("burdocktray_gateway_shed_requests_total")
		.help("Requests rejected for load, by service, rank of their priority, and whether they had waited")
		.labelNames("service", "rank", "waited")
		.register(this.registry);

	private final Counter shedByOrganisation = Counter.builder()
		.name("burdocktray_gateway_shed_by_organisation_total")
		.help("Requests rejected for load by organisation; those beyond the first 32 count as other")
		.labelNames("organisation")
		.register(this.registry);

	private final Histogram estimateRatio = Histogram.builder()
		.name("burdocktray_gateway_first_event_estimate_ratio")
		.help("The real time of first events divided by the estimated one")
		.classicOnly()
		.classicUpperBounds(RATIO_BUCKET_BOUNDS)
		.register(this.registry);

	private final Counter refusedClients = Counter.builder()
		.name("burdocktray_gateway_refused_clients_total")
		.help("Requests and connections that were turned away before their request was read, by listener and reason")
		.labelNames("listener", "reason")
		.register(this.registry);

	private final Set<String> shedOrganisations = ConcurrentHashMap.newKeySet();

	private final Gauge rulesVersion = Gauge.builder()
		.name("burdocktray_gateway_rules_version")
		.help("The version of the rules in force")
		.register(this.registry);

	private final Gauge storeEra = Gauge.builder()
		.name("burdocktray_gateway_store_era")
		.help("Latest era of the platform's store that this VM has seen, 0 until it has returned from a copy")
		.register(this.registry);

	void recordRequest(int status, String ran) {
		this.requests.labelValues(Integer.toString(status), ran).inc();
	}

	void recordRefusedClient(String listener, String reason) {
		this.refusedClients.labelValues(listener, reason).inc();
	}

	void recordAttempt(String outcome) {
		this.attempts.labelValues(outcome).inc();
	}

	void recordSuccessorStarted() {
		this.successors.inc();
	}

	void recordHedge(String result) {
		this.hedges.labelValues(result).inc();
	}

	void recordHedgeSkipped(String reason) {
		this.skippedHedges.labelValues(reason).inc();
	}

	/**
	 * Records a run that lost to the other run of its request.
	 * @param hasResponded whether it had begun to respond when it was cancelled
	 * @param runNanos how long it was in progress
	 * @param promptTokens the tokens of its prompt
	 */
	void recordHedgeLoser(boolean hasResponded, long runNanos, int promptTokens) {
		this.hedgeLosers.labelValues(hasResponded ? "yes" : "no").inc();
		this.hedgeWasteSeconds.inc(runNanos / NANOS_PER_SECOND);
		this.hedgeWasteTokens.inc(promptTokens);
	}

	void recordBrokenOffResponse() {
		this.brokenOffResponses.inc();
	}

	void recordForeignAnswer(String service) {
		this.foreignAnswers.labelValues(service).inc();
	}

	void recordMergedAnswer(String service) {
		this.mergedAnswers.labelValues(service).inc();
	}

	void recordOversizedResponse() {
		this.oversizedResponses.inc();
	}

	@Override
	public void onCall(String kind, String source, String result) {
		this.watchCalls.labelValues(kind, source, result).inc();
	}

	@Override
	public void onAnswer(String kind, String result) {
		this.watchAnswers.labelValues(kind, result).inc();
	}

	@Override
	public void onConfirmation(String kind, long ageMillis) {
		this.watchAge.labelValues(kind).observe(ageMillis / MILLIS_PER_SECOND);
	}

	@Override
	public void onWatching(boolean isWatcher) {
		this.watching.set(isWatcher ? 1 : 0);
	}

	void recordStoreCall(String kind, String call) {
		this.storeCalls.labelValues(kind, call).inc();
	}

	void recordReplicaCrash() {
		this.replicaCrashes.inc();
	}

	void recordQuarantineRefusal() {
		this.quarantineRefusals.inc();
	}

	void recordFirstByte(long elapsedNanos) {
		this.firstByte.observe(elapsedNanos / NANOS_PER_SECOND);
	}

	/**
	 * Records how late the event loop is.
	 * @param delayNanos the delay, negative if it is early
	 */
	void recordEventLoopDelay(long delayNanos) {
		this.eventLoopDelay.observe(Math.max(0, delayNanos) / NANOS_PER_SECOND);
	}

	/**
	 * Sets what the requests without their final answer take.
	 * @param count their number
	 * @param bodyBytes the memory for their bodies
	 */
	void setInProgress(int count, long bodyBytes) {
		this.inProgress.set(count);
		this.bodyBytes.set(bodyBytes);
	}

	void recordBodyRejection() {
		this.bodyRejections.inc();
	}

	void recordPause() {
		this.pauses.inc();
	}

	void recordLeavingReplica() {
		this.leavingReplicas.inc();
	}

	void setCutOff(boolean isCutOff) {
		this.cutOff.set(isCutOff ? 1 : 0);
	}

	/**
	 * Records a request that is relayed.
	 * @param direction {@code sent} or {@code received}
	 * @param result what became of it
	 */
	void recordRelay(String direction, String result) {
		this.relays.labelValues(direction, result).inc();
	}

	void setReplicasHeard(int count) {
		this.replicasHeard.set(count);
	}

	/**
	 * Records that an engine gave no report.
	 * @param isOwn whether this VM asked it, and no other VM
	 * @param isHeard whether this VM has heard from the engine of late
	 */
	void recordSilentEngine(boolean isOwn, boolean isHeard) {
		this.silentReports.labelValues(isOwn ? "this" : "other", isHeard ? "yes" : "no").inc();
	}

	/**
	 * Records that a path was chosen.
	 * @param method {@code flow} or {@code search}
	 */
	void recordPathChoice(String method) {
		this.pathChoices.labelValues(method).inc();
	}

	void recordLayersAssigned(PlacementChange.Reason reason) {
		this.layersAssigned.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc();
	}

	void setDataCentreLoad(String service, DataCentreLoad load) {
		String dataCentre = load.dataCentre().name();
		this.dataCentreDemand.labelValues(service, dataCentre).set(load.demandPerSecond());
		this.dataCentreCapacity.labelValues(service, dataCentre).set(load.capacityPerSecond());
		this.dataCentreShare.labelValues(service, dataCentre).set(load.share());
	}

	void setStoreEra(long era) {
		this.storeEra.set(era);
	}

	void setRulesVersion(long version) {
		this.rulesVersion.set(version);
	}

	/**
	 * Sets how much of the demand for a service is admitted.
	 * @param service the service
	 * @param threshold its threshold
	 * @param availableShare the part of the estimated capacity that no demand needs
	 */
	void setAdmission(String service, AdmissionThreshold threshold, double availableShare) {
		this.admissionThreshold.labelValues(service).set(threshold.shares().threshold().orElse(-1));
		this.demandRatio.labelValues(service).set(threshold.demand());
		this.availableCapacityRatio.labelValues(service).set(availableShare);
		this.lateRatio.labelValues(service).set(threshold.lateShare());
	}

	void recordShedRequest(String service, String organisation, int rank, boolean hasWaited) {
		this.shedRequests.labelValues(service, Integer.toString(rank), hasWaited ? "yes" : "no").inc();
		if (this.shedOrganisations.size() < MAX_SHED_ORGANISATIONS) {
			this.shedOrganisations.add(organisation);
		}
		this.shedByOrganisation.labelValues(this.shedOrganisations.contains(organisation) ? organisation : "other")
			.inc();
	}

	/**
	 * Records a sample of the resources of this VM.
	 * @param pressure the pressure
	 */
	void setPressure(ResourcePressure pressure) {
		pressure.levels().forEach((resource, level) -> this.pressureLevel.labelValues(resource).set(level));
		for (PressureState state : PressureState.values()) {
			this.pressureState.labelValues(state.name().toLowerCase(Locale.ROOT))
				.set((state == pressure.state()) ? 1 : 0);
		}
	}

	void recordPressureRequest(String result) {
		this.pressureRequests.labelValues(result).inc();
	}

	/**
	 * Adds to the bytes of bodies that this process has sent.
	 * @param count the number of bytes
	 */
	void recordSentBytes(long count) {
		this.sentBytes.add(count);
	}

	long sentBytes() {
		return this.sentBytes.sum();
	}

	void recordEstimateRatio(double ratio) {
		this.estimateRatio.observe(ratio);
	}

	String scrape() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			new PrometheusTextFormatWriter(false).write(out, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toString(StandardCharsets.UTF_8);
	}

}
