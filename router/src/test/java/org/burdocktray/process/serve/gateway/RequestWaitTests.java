package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.demand.ClassLoad;
import org.burdocktray.process.demand.DataCentreDemand;
import org.burdocktray.process.demand.DemandClass;
import org.burdocktray.process.demand.DemandMeter;
import org.burdocktray.process.demand.DemandReport;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.TestReplicas;
import org.burdocktray.process.overload.AdmissionThreshold;
import org.burdocktray.process.settings.GatewayOptions.Activation;
import org.burdocktray.process.settings.GatewayOptions.OverloadOptions;
import org.burdocktray.request.overload.Arrival;
import org.burdocktray.request.overload.OverloadControl;
import org.burdocktray.request.overload.OverloadListener;
import org.burdocktray.request.overload.RequestTracker;
import org.burdocktray.version.rules.CallerLimits;
import org.burdocktray.version.rules.RequestKind;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.ServiceRule;
import org.burdocktray.version.rules.WeightedService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestWaitTests {

	private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(100);

	private static final ServiceRule SERVICE = new ServiceRule("s", "/", 8, Optional.of(TestReplicas.PROFILE));

	private static final RouteRule ROUTE = new RouteRule("r", "h", "/", RequestKind.STREAMING, true, 20_000, 500, 250,
			2, 2, true, List.of(new WeightedService("s", 1)));

	/** Guards against the end of a request that waits for another run of its own. */
	@Test
	void onlyWaitForCapacityIsBoundedByLoad() {
		RequestWait wait = new RequestWait(ROUTE, null, Optional.of(trackerUnderPressure()));
		long waitedNanos = TimeUnit.MILLISECONDS.toNanos(ROUTE.callerTimeoutMillis()) / 2;
		assertThat(wait.mayGoOn(false, waitedNanos)).isTrue();
		assertThat(wait.mayWaitForCapacity(false, waitedNanos)).isFalse();
	}

	private static RequestTracker trackerUnderPressure() {
		DemandReport overload = new DemandReport(
				Map.of(new DemandClass("s", 2), new ClassLoad(135, 67_500, 27_000, 0, 50, 70, 105)), Map.of());
		ReplicaDirectory directory = new ReplicaDirectory(0);
		directory.put(TestReplicas.engine("head", "ghent", "fast", 0, 5), NOW_NANOS);
		directory.put(TestReplicas.engine("tail", "ghent", "fast", 5, 10), NOW_NANOS);
		OverloadControl control = new OverloadControl(new OverloadOptions(Activation.ALWAYS, 0.05), new DemandMeter(),
				(now) -> List.of(new DataCentreDemand(new DataCentre("ghent"), 3, overload, now)), directory,
				new ReplicaLoads(), new SplittableRandom(1), new NoListener());
		control.update(new RoutingRules(1, List.of(ROUTE), Map.of("s", SERVICE), false, Map.of(),
				new CallerLimits(8_192, 1_000, 1_000, 1_000)), NOW_NANOS);
		assertThat(control.isClosed("s")).isTrue();
		return control.track(new Arrival(Optional.empty(), ROUTE, SERVICE, "o", 2, false, 500, 200, 2_000), NOW_NANOS)
			.orElseThrow();
	}

	private static final class NoListener implements OverloadListener {

		@Override
		public void onThresholdChange(String service, AdmissionThreshold threshold) {
		}

		@Override
		public void onUpdate(String service, AdmissionThreshold threshold, double availableShare) {
		}

		@Override
		public void onRejection(Arrival arrival, int rank, boolean hasWaited) {
		}

		@Override
		public void onEstimateChecked(double ratio) {
		}

	}

}
