package org.burdocktray.bench.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.limits.AdmissionParameters;
import org.burdocktray.process.limits.TargetCapacity;
import org.burdocktray.process.limits.VmIndex;
import org.burdocktray.request.admission.AdmissionRequest;
import org.burdocktray.request.admission.FairShareAdmissionControl;
import org.burdocktray.request.admission.SlotExchange;
import org.burdocktray.version.bundle.Organisation;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Threads;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of one admission with its release. Thread safety: the benchmark
 * threads share one admission control.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
public class AdmissionBenchmark {

	private static final int ADMISSION_SLOTS = 10_000;

	private static final int EXPECTED_TOKENS = 290;

	private static final double UNLIMITED = 1e12;

	private static final long TIMEOUT_SECONDS = 3600;

	/** Number of organisations that send requests. */
	@Param({ "10", "670" })
	public int organisations;

	private FairShareAdmissionControl control;

	private List<AdmissionRequest> requests;

	private int next;

	/** Creates the admission control and admits a first request of each organisation. */
	@Setup
	public void createControl() {
		this.control = new FairShareAdmissionControl(AdmissionParameters.defaults(),
				(target) -> new TargetCapacity(ADMISSION_SLOTS, UNLIMITED), new VmIndex(0, 1, false, 1),
				SlotExchange.none(), System::nanoTime);
		this.requests = new ArrayList<>();
		for (int number = 0; number < this.organisations; number++) {
			Organisation organisation = new Organisation("organisation-" + number, List.of(), 1, UNLIMITED, UNLIMITED,
					0, List.of());
			this.requests.add(new AdmissionRequest(organisation, "model", EXPECTED_TOKENS,
					System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)));
		}
		this.requests.forEach((request) -> admitAndRelease(request));
	}

	/**
	 * Admits and releases on one thread.
	 * @return the number of released tokens
	 */
	@Benchmark
	@Threads(1)
	public int oneThread() {
		return admitAndRelease(this.requests.get(nextIndex()));
	}

	/**
	 * Admits and releases on four threads that share one target.
	 * @return the number of released tokens
	 */
	@Benchmark
	@Threads(4)
	public int fourThreads() {
		return admitAndRelease(this.requests.get(nextIndex()));
	}

	// Increments lost between threads do not affect the measurement.
	private int nextIndex() {
		this.next = (this.next + 1) % this.organisations;
		return this.next;
	}

	private int admitAndRelease(AdmissionRequest request) {
		this.control.admit(request).subscribe((decision) -> decision.get().release(EXPECTED_TOKENS));
		return EXPECTED_TOKENS;
	}

}
