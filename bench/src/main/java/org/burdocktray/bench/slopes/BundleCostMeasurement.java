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
 * What one version of the bundle costs a VM: its bytes, the time to read it and to work
 * out the routing data, and the heap both retain. Processor times differ between runs;
 * there is no bound. Thread safety: none.
 */
final class BundleCostMeasurement implements Measurement {

	private static final List<SampleFleet> FLEETS = SampleFleet.sizes();

	private static final int[] ORGANISATIONS = { 10, 100, 670 };

	private static final int[] MODEL_COUNTS = { 2, 12, 33 };

	private static final int TARGET_REPLICAS = 1_700;

	private static final int FEW = 10;

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
		for (SampleFleet fleet : FLEETS) {
			measure(fleet.withOrganisations(FEW), fleet.replicas(), build, heap);
		}
		build.print(out);
		heap.print(out);
		Series buildByModels = new Series("routing data worked out, 1,700 replicas", "ms", "model");
		Series heapByModels = new Series("bundle and routing data retained, 1,700 replicas", "KB", "model");
		for (int models : MODEL_COUNTS) {
			measure(new SampleFleet(TARGET_REPLICAS, models, FEW), models, buildByModels, heapByModels);
		}
		buildByModels.print(out);
		heapByModels.print(out);
		bundles(out);
		authenticator(out);
		return true;
	}

	private void measure(SampleFleet fleet, int size, Series build, Series heap) {
		String text = BundleWriter.write(fleet.bundle(List.of(), List.of()));
		Bundle bundle = fleet.bundle(List.of(), List.of());
		build.add(size, this.timing.medianMicros(40, 9, 1, () -> RoutingSnapshot.of(bundle)) / 1e3);
		heap.add(size, this.timing.retainedBytes(() -> RoutingSnapshot.of(read(text))) / 1e3);
	}

	private void bundles(PrintStream out) {
		Series bytesByReplicas = new Series("bundle text, 10 organisations", "bytes", "replica");
		Series readByReplicas = new Series("bundle read, 10 organisations", "ms", "replica");
		for (SampleFleet fleet : FLEETS) {
			bundle(fleet.withOrganisations(FEW), fleet.replicas(), bytesByReplicas, readByReplicas);
		}
		bytesByReplicas.print(out);
		readByReplicas.print(out);
		Series bytesByOrganisations = new Series("bundle text, 35 replicas", "bytes", "organisation");
		Series readByOrganisations = new Series("bundle read, 35 replicas", "ms", "organisation");
		for (int organisations : ORGANISATIONS) {
			bundle(FLEETS.get(0).withOrganisations(organisations), organisations, bytesByOrganisations,
					readByOrganisations);
		}
		bytesByOrganisations.print(out);
		readByOrganisations.print(out);
	}

	private void bundle(SampleFleet fleet, int size, Series bytes, Series read) {
		String text = BundleWriter.write(fleet.bundle(List.of(), List.of()));
		bytes.add(size, text.length());
		read.add(size, this.timing.medianMicros(60, 15, 1, () -> read(text)) / 1e3);
	}

	private void authenticator(PrintStream out) {
		Series find = new Series("one API key checked", "µs", "organisation");
		Series heap = new Series("table of API keys retained", "KB", "organisation");
		for (int organisations : ORGANISATIONS) {
			Bundle bundle = FLEETS.get(0).withOrganisations(organisations).bundle(List.of(), List.of());
			Authenticator authenticator = new Authenticator(bundle);
			Optional<String> header = Optional.of("Bearer " + SampleFleet.apiKey(organisations / 2));
			find.add(organisations,
					this.timing.medianMicros(50_000, 7, 20_000, () -> authenticator.authenticate(header)));
			heap.add(organisations, this.timing.retainedBytes(() -> new Authenticator(bundle)) / 1e3);
		}
		find.print(out);
		heap.print(out);
	}

	private static Bundle read(String text) {
		return BundleReader.read("sample", text)
			.getOrElseThrow((faults) -> new IllegalStateException("The sample has faults: " + faults));
	}

}
