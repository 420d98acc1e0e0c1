package org.burdocktray.process.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.model.Verdict;
import org.burdocktray.version.bundle.Objective;

/**
 * Prometheus metrics of one router process. Latency histograms have no organisation
 * label, so that the number of time series does not grow with the number of organisations
 * times buckets. For each organisation, objectives are counted as good and bad events
 * instead. Thread safety: safe for use by multiple threads.
 */
public final class RouterMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double[] LATENCY_BUCKET_BOUNDS_SECONDS = { 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.36, 0.72,
			1, 2, 5, 10 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("burdocktray_requests_total")
		.help("Requests that got their final answer")
		.labelNames("kind", "outcome", "ran")
		.register(this.registry);

	private final Counter refusedClients = Counter.builder()
		.name("burdocktray_refused_clients_total")
		.help("Requests and connections that were turned away before their request was read, by listener and reason")
		.labelNames("listener", "reason")
		.register(this.registry);

	private final Counter objectiveEvents = Counter.builder()
		.name("burdocktray_objective_events_total")
		.help("Good and bad events of each objective")
		.labelNames("organisation", "objective", "result")
		.register(this.registry);

	private final Counter tokens = Counter.builder()
		.name("burdocktray_tokens_total")
		.help("Tokens handed to callers")
		.labelNames("model")
		.register(this.registry);

	private final Counter upstreamFailures = Counter.builder()
		.name("burdocktray_upstream_failures_total")
		.help("Failures of upstreams seen by this VM")
		.labelNames("upstream")
		.register(this.registry);

	private final Histogram firstToken = latencyHistogram("burdocktray_first_token_seconds", "Time to the first token");

	private final Histogram betweenTokens = latencyHistogram("burdocktray_between_tokens_seconds",
			"Time between two tokens");

	private final Histogram recovery = latencyHistogram("burdocktray_stream_recovery_seconds",
			"Gap of a stream whose upstream failed");

	private final Histogram serviceCall = latencyHistogram("burdocktray_service_call_seconds",
			"Time of a plain service call");

	private final Gauge inFlight = Gauge.builder()
		.name("burdocktray_requests_in_flight")
		.help("Requests without their final answer")
		.register(this.registry);

	private final Gauge bundleVersion = Gauge.builder()
		.name("burdocktray_bundle_version")
		.help("The bundle version in force")
		.register(this.registry);

	/**
	 * Creates the metrics.
	 * @param startTimeMillis the start time of the process, in milliseconds since 1970
	 */
	public RouterMetrics(long startTimeMillis) {
		Gauge.builder()
			.name("burdocktray_start_time_seconds")
			.help("Start of the process, seconds since 1970")
			.register(this.registry)
			.set(startTimeMillis / 1000.0);
	}

	/** Counts a received request as in flight. */
	public void recordRequestStarted() {
		this.inFlight.inc();
	}

	/**
	 * Counts a request that received its complete response.
	 * @param kind {@code chat}, {@code service} or {@code models}
	 */
	public void recordRequestAnswered(String kind) {
		this.inFlight.dec();
		this.requests.labelValues(kind, "answered", Verdict.RAN.wireName()).inc();
	}

	/**
	 * Counts a request that ended with an error.
	 * @param kind {@code chat}, {@code service} or {@code unrouted}
	 * @param reason why it was refused
	 * @param verdict whether it may have run at an upstream
	 */
	public void recordRequestRefused(String kind, RefusalReason reason, Verdict verdict) {
		this.inFlight.dec();
		this.requests.labelValues(kind, reason.problemType(), verdict.wireName()).inc();
	}

	/**
	 * Counts a request whose caller disconnected before the response was complete.
	 * @param kind {@code chat}, {@code service} or {@code unrouted}
	 */
	public void recordRequestAbandoned(String kind) {
		this.inFlight.dec();
		this.requests.labelValues(kind, "abandoned", Verdict.MAY_HAVE_RUN.wireName()).inc();
	}

	/**
	 * Counts an event as good or bad for every objective of its kind.
	 * @param objectives the objectives of the bundle version that the request uses
	 * @param kind the kind of event
	 * @param organisation the name of the organisation
	 * @param elapsedNanos the latency that is compared with the threshold of the
	 * objective; for availability, 0 for a good event and {@link Long#MAX_VALUE} for a
	 * bad one
	 */
	public void recordObjectiveEvent(List<Objective> objectives, Objective.Kind kind, String organisation,
			long elapsedNanos) {
		for (Objective objective : objectives) {
			if (objective.kind() != kind) {
				continue;
			}
			boolean good = elapsedNanos <= objective.thresholdMillis() * 1_000_000;
			this.objectiveEvents.labelValues(organisation, objective.name(), good ? "good" : "bad").inc();
		}
	}

	/**
	 * Records the time to the first token of a response.
	 * @param elapsedNanos the time since the request was received
	 */
	public void recordFirstToken(long elapsedNanos) {
		this.firstToken.observe(elapsedNanos / NANOS_PER_SECOND);
	}

	/**
	 * Counts a token after the first one and records its latency.
	 * @param model the name of the model
	 * @param elapsedNanos the time since the previous token
	 */
	public void recordNextToken(String model, long elapsedNanos) {
		this.tokens.labelValues(model).inc();
		this.betweenTokens.observe(elapsedNanos / NANOS_PER_SECOND);
	}

	/**
	 * Records the interruption of a stream whose upstream failed.
	 * @param elapsedNanos the time between the last token before and the first token
	 * after the failure
	 */
	public void recordStreamRecovery(long elapsedNanos) {
		this.recovery.observe(elapsedNanos / NANOS_PER_SECOND);
	}

	/**
	 * Records the duration of a plain service call.
	 * @param elapsedNanos the time from the receipt of the request to its response
	 */
	public void recordServiceCall(long elapsedNanos) {
		this.serviceCall.observe(elapsedNanos / NANOS_PER_SECOND);
	}

	/**
	 * Counts a failure of an upstream.
	 * @param upstreamName the name of the upstream
	 */
	public void recordUpstreamFailure(String upstreamName) {
		this.upstreamFailures.labelValues(upstreamName).inc();
	}

	/**
	 * Sets the bundle version in force.
	 * @param version the version
	 */
	public void setBundleVersion(long version) {
		this.bundleVersion.set(version);
	}

	/**
	 * Records that a client was turned away before its request was read.
	 * @param listener the name of the listener
	 * @param reason the word for the reason
	 */
	public void recordRefusedClient(String listener, String reason) {
		this.refusedClients.labelValues(listener, reason).inc();
	}

	/**
	 * Renders all metrics in the Prometheus text format.
	 * @return the text
	 */
	public String render() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toString(StandardCharsets.UTF_8);
	}

	private Histogram latencyHistogram(String name, String help) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.classicOnly()
			.classicUpperBounds(LATENCY_BUCKET_BOUNDS_SECONDS)
			.register(this.registry);
	}

}
