package org.burdocktray.bench.slopes;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

import org.burdocktray.bench.Measurement;
import org.burdocktray.request.auth.Authenticator;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.BundleReader;
import org.burdocktray.version.bundle.BundleWriter;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Measures the cost of one bundle version at a VM: its size in bytes, the processor time
 * to parse it and to compute the routing data, and the heap that both retain. Processor
 * times vary between runs, so no bound is checked. Thread safety: none.
 */
final class BundleCostMeasurement implements Measurement {

	private static final List<SampleFleet> FLEET_SIZES = SampleFleet.sizes();

	private static final int[] ORGANISATION_COUNTS = { 10, 100, 670 };

	private static final int[] MODEL_COUNTS = { 2, 12, 33 };

	private static final int TARGET_REPLICAS = 1_700;

	private static final int FEW_ORGANISATIONS = 10;

	private final Timing timing = new Timing();

	@Override
	public String name() {
		return "version";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		Series.printHeader(out);
		Series build = new Series("routing data worked out; 2, 12, 33 models", "ms", "replica");
		Series heap = new Series("bundle and routing data retained; 2, 12, 33 models", "KB", "replica");
		for (SampleFleet fleet : FLEET_SIZES) {
			measureRoutingData(fleet.withOrganisations(FEW_ORGANISATIONS), fleet.replicas(), build, heap);
		}
		build.print(out);
		heap.print(out);
		Series buildByModels = new Series("routing data worked out, 1,700 replicas", "ms", "model");
		Series heapByModels = new Series("bundle and routing data retained, 1,700 replicas", "KB", "model");
		for (int models : MODEL_COUNTS) {
			measureRoutingData(new SampleFleet(TARGET_REPLICAS, models, FEW_ORGANISATIONS), models, buildByModels,
					heapByModels);
		}
		buildByModels.print(out);
		heapByModels.print(out);
		measureBundles(out);
		measureAuthenticator(out);
		return true;
	}

	private void measureRoutingData(SampleFleet fleet, int size, Series build, Series heap) {
		String text = BundleWriter.write(fleet.bundle(List.of(), List.of()));
		Bundle bundle = fleet.bundle(List.of(), List.of());
		build.add(size, this.timing.medianMicros(40, 9, 1, () -> RoutingSnapshot.of(bundle)) / 1e3);
		heap.add(size, this.timing.retainedBytes(() -> RoutingSnapshot.of(parse(text))) / 1e3);
	}

	private void measureBundles(PrintStream out) {
		Series bytesByReplicas = new Series("bundle text, 10 organisations", "bytes", "replica");
		Series readByReplicas = new Series("bundle read, 10 organisations", "ms", "replica");
		for (SampleFleet fleet : FLEET_SIZES) {
			measureBundle(fleet.withOrganisations(FEW_ORGANISATIONS), fleet.replicas(), bytesByReplicas,
					readByReplicas);
		}
		bytesByReplicas.print(out);
		readByReplicas.print(out);
		Series bytesByOrganisations = new Series("bundle text, 35 replicas", "bytes", "organisation");
		Series readByOrganisations = new Series("bundle read, 35 replicas", "ms", "organisation");
		for (int organisations : ORGANISATION_COUNTS) {
			measureBundle(FLEET_SIZES.get(0).withOrganisations(organisations), organisations, bytesByOrganisations,
					readByOrganisations);
		}
		bytesByOrganisations.print(out);
		readByOrganisations.print(out);
	}

	private void measureBundle(SampleFleet fleet, int size, Series bytes, Series parseTimes) {
		String text = BundleWriter.write(fleet.bundle(List.of(), List.of()));
		bytes.add(size, text.length());
		parseTimes.add(size, this.timing.medianMicros(60, 15, 1, () -> parse(text)) / 1e3);
	}

	private void measureAuthenticator(PrintStream out) {
		Series lookup = new Series("one API key checked", "µs", "organisation");
		Series heap = new Series("table of API keys retained", "KB", "organisation");
		for (int organisations : ORGANISATION_COUNTS) {
			Bundle bundle = FLEET_SIZES.get(0).withOrganisations(organisations).bundle(List.of(), List.of());
			Authenticator authenticator = new Authenticator(bundle);
			Optional<String> header = Optional.of("Bearer " + SampleFleet.apiKey(organisations / 2));
			lookup.add(organisations,
					this.timing.medianMicros(50_000, 7, 20_000, () -> authenticator.authenticate(header)));
			heap.add(organisations, this.timing.retainedBytes(() -> new Authenticator(bundle)) / 1e3);
		}
		lookup.print(out);
		heap.print(out);
	}

	private static Bundle parse(String text) {
		return BundleReader.read("sample", text)
			.getOrElseThrow((faults) -> new IllegalStateException("The sample bundle is invalid: " + faults));
	}

}
