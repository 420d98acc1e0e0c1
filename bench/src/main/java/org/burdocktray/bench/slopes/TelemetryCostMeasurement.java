package org.burdocktray.bench.slopes;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.GZIPOutputStream;

import org.burdocktray.bench.Measurement;
import org.burdocktray.process.metrics.RouterMetrics;
import org.burdocktray.version.bundle.Objective;

/**
 * Measures the cost of one scrape of a VM's metrics when every organisation has good and
 * bad events for four objectives. Processor times vary between runs, so no bound is
 * checked. Thread safety: none.
 */
final class TelemetryCostMeasurement implements Measurement {

	private static final int[] ORGANISATION_COUNTS = { 10, 100, 670 };

	private static final int MODELS = 33;

	private static final int FAILED_UPSTREAMS = 50;

	private final Timing timing = new Timing();

	@Override
	public String name() {
		return "telemetry";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		Series.printHeader(out);
		Series bytes = new Series("one scrape, 4 objectives", "bytes", "organisation");
		Series compressed = new Series("one scrape, compressed with gzip", "bytes", "organisation");
		Series time = new Series("one scrape, 4 objectives", "ms", "organisation");
		Series heap = new Series("metrics retained", "KB", "organisation");
		for (int organisations : ORGANISATION_COUNTS) {
			RouterMetrics metrics = createFilledMetrics(organisations);
			bytes.add(organisations, metrics.render().length());
			compressed.add(organisations, compressedBytes(metrics.render()));
			time.add(organisations, this.timing.medianMicros(200, 9, 20, metrics::render) / 1e3);
			heap.add(organisations, this.timing.retainedBytes(() -> createFilledMetrics(organisations)) / 1e3);
		}
		bytes.print(out);
		compressed.print(out);
		time.print(out);
		heap.print(out);
		return true;
	}

	private static int compressedBytes(String text) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
			gzip.write(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.size();
	}

	private static RouterMetrics createFilledMetrics(int organisations) {
		RouterMetrics metrics = new RouterMetrics(0);
		List<Objective> objectives = SampleFleet.objectives();
		for (int index = 0; index < organisations; index++) {
			for (Objective.Kind kind : Objective.Kind.values()) {
				metrics.recordObjectiveEvent(objectives, kind, "organisation-" + index, 0);
				metrics.recordObjectiveEvent(objectives, kind, "organisation-" + index, Long.MAX_VALUE);
			}
		}
		for (int model = 0; model < MODELS; model++) {
			metrics.recordNextToken("m" + model, 1_000_000);
		}
		for (int upstream = 0; upstream < FAILED_UPSTREAMS; upstream++) {
			metrics.recordUpstreamFailure("dc1-e" + upstream);
		}
		return metrics;
	}

}
