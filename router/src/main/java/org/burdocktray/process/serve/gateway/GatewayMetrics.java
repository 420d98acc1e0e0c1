package org.burdocktray.process.serve.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
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

	private final PrometheusRegistry registry = new PrometheusRegistry();

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

	private final Gauge rulesVersion = Gauge.builder()
		.name("burdocktray_gateway_rules_version")
		.help("The version of the rules in force")
		.register(this.registry);

	void recordRequest(int status, String ran) {
		this.requests.labelValues(Integer.toString(status), ran).inc();
	}

	void recordAttempt(String outcome) {
		this.attempts.labelValues(outcome).inc();
	}

	void recordSuccessorStarted() {
		this.successors.inc();
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

	void setInProgress(int count) {
		this.inProgress.set(count);
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

	void setRulesVersion(long version) {
		this.rulesVersion.set(version);
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
