package org.burdocktray.bench.admission;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;

import org.burdocktray.bench.Measurement;
import org.burdocktray.process.limits.SlotShare;

/**
 * Measures the goodput within the deadline under overload, and the share of their demand
 * that small organisations receive while another organisation floods. Thread safety:
 * stateless.
 */
public final class AdmissionMeasurement implements Measurement {

	private static final double MIN_GOODPUT_RATIO = 0.85;

	private static final double MIN_SERVED_SHARE = 0.85;

	private static final double MAX_FIRST_TOKEN_MILLIS = 720;

	private static final double BASE_LOAD = 0.8;

	private static final double OVERLOAD = 1.5;

	private static final int ORGANISATIONS = 10;

	private static final double SMALL_ORGANISATIONS_LOAD = 0.9;

	private static final String FLOODING_ORGANISATION = "flooding";

	private static final int FLEET_SLOTS = 4800;

	private static final int TARGET_FLEET_SLOTS = 48_000;

	private static final int TARGET_VM_COUNT = 320;

	private static final int SLOW_ENGINES_VM_COUNT = 9;

	private static final double SLOW_ENGINE_SPEED = 0.5;

	private static final int WARM_UP_SECONDS = 60;

	private static final int QUICK_SECONDS = 15;

	private static final int MEASURED_SECONDS = 60;

	private static final long SEED = 20_261_203;

	private static final List<Integer> VM_COUNTS = List.of(1, 9, 40, TARGET_VM_COUNT);

	private static final List<Double> LOADS = List.of(BASE_LOAD, 1.0, OVERLOAD, 3.0);

	@Override
	public String name() {
		return "admission";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		boolean withinBounds = true;
		out.println("admission | vms places load speed | policy | goodput/bound | wait p95 ms | refused | longest "
				+ "refusal ms | least small share | messages/VM/s");
		for (int vms : VM_COUNTS) {
			for (double load : LOADS) {
				withinBounds &= measureEvenLoad(out,
						scenario(vms, FLEET_SLOTS, evenDemand(load, FLEET_SLOTS), 1, quick), load);
			}
			withinBounds &= measureFlooding(out, scenario(vms, FLEET_SLOTS, floodedDemand(FLEET_SLOTS), 1, quick),
					FLOODING_ORGANISATION);
		}
		Scenario slowEngines = scenario(SLOW_ENGINES_VM_COUNT, FLEET_SLOTS,
				evenDemand(OVERLOAD * SLOW_ENGINE_SPEED, FLEET_SLOTS), SLOW_ENGINE_SPEED, quick);
		withinBounds &= measureEvenLoad(out, slowEngines, OVERLOAD);
		if (!quick) {
			withinBounds &= measureEvenLoad(out,
					scenario(TARGET_VM_COUNT, TARGET_FLEET_SLOTS, evenDemand(OVERLOAD, TARGET_FLEET_SLOTS), 1, false),
					OVERLOAD);
			withinBounds &= measureFlooding(out,
					scenario(TARGET_VM_COUNT, TARGET_FLEET_SLOTS, floodedDemand(TARGET_FLEET_SLOTS), 1, false),
					FLOODING_ORGANISATION);
		}
		return withinBounds;
	}

	private static Scenario scenario(int vms, int slots, List<Scenario.OrganisationLoad> organisations, double speed,
			boolean quick) {
		return new Scenario(vms, slots, organisations, speed, (int) (WARM_UP_SECONDS / speed),
				(quick) ? QUICK_SECONDS : MEASURED_SECONDS, SEED);
	}

	private static List<Scenario.OrganisationLoad> evenDemand(double load, int slots) {
		List<Scenario.OrganisationLoad> organisations = new ArrayList<>();
		double requestsPerOrganisation = load * requestsPerSecond(slots) / ORGANISATIONS;
		for (int number = 0; number < ORGANISATIONS; number++) {
			organisations.add(new Scenario.OrganisationLoad("small-" + number, requestsPerOrganisation));
		}
		return organisations;
	}

	private static List<Scenario.OrganisationLoad> floodedDemand(int slots) {
		List<Scenario.OrganisationLoad> organisations = new ArrayList<>(
				evenDemand(SMALL_ORGANISATIONS_LOAD, slots).subList(1, ORGANISATIONS));
		organisations.add(new Scenario.OrganisationLoad(FLOODING_ORGANISATION, requestsPerSecond(slots)));
		return organisations;
	}

	private static double requestsPerSecond(int slots) {
		return slots * Scenario.TOKENS_PER_SECOND_PER_STREAM / Scenario.MEAN_TOKENS;
	}

	private static boolean measureEvenLoad(PrintStream out, Scenario scenario, double load) {
		AdmissionResult fairShare = measureAllPolicies(out, scenario, String.valueOf(load));
		if (load < 1) {
			return reportBound(out, "wait p95 + first token <= 720 ms",
					fairShare.queueingP95Millis() + Scenario.FIRST_TOKEN_MILLIS <= MAX_FIRST_TOKEN_MILLIS);
		}
		if (load < OVERLOAD) {
			return true;
		}
		return reportBound(out, "goodput >= 0.85", fairShare.goodputRatio() >= MIN_GOODPUT_RATIO);
	}

	private static boolean measureFlooding(PrintStream out, Scenario scenario, String load) {
		AdmissionResult fairShare = measureAllPolicies(out, scenario, load);
		boolean goodputWithinBound = reportBound(out, "goodput >= 0.85", fairShare.goodputRatio() >= MIN_GOODPUT_RATIO);
		return reportBound(out, "each small organisation gets >= 0.85 of what it asks",
				minSmallServedShare(fairShare) >= MIN_SERVED_SHARE) && goodputWithinBound;
	}

	private static AdmissionResult measureAllPolicies(PrintStream out, Scenario scenario, String load) {
		int slots = scenario.fleetSlots();
		int vms = scenario.vms();
		AdmissionResult fairShare = measure(out, scenario, load, "fair share",
				(vm) -> new FairShareVm(vm, scenario, true));
		measure(out, scenario, load, "fair share, cut off", (vm) -> new FairShareVm(vm, scenario, false));
		measure(out, scenario, load, "none", (vm) -> VmAdmission.unlimited());
		measure(out, scenario, load, "fixed limit, queue",
				(vm) -> new VmAdmission.QueueingLimit(SlotShare.ownShare(slots, vm, vms)));
		measure(out, scenario, load, "fixed limit, refuse",
				(vm) -> new VmAdmission.RefusingLimit(SlotShare.ownShare(slots, vm, vms)));
		return fairShare;
	}

	private static AdmissionResult measure(PrintStream out, Scenario scenario, String load, String policy,
			IntFunction<VmAdmission> admission) {
		AdmissionResult result = new AdmissionSimulation(scenario, admission).run();
		out.println(
				String.format(Locale.ROOT, "admission | %d %d %s %.1f | %s | %.3f | %.0f | %.3f | %.0f | %.3f | %.1f",
						scenario.vms(), scenario.fleetSlots(), load, scenario.engineSpeed(), policy,
						result.goodputRatio(), result.queueingP95Millis(), result.refusedShare(),
						result.longestRefusalMillis(), minSmallServedShare(result), result.messagesPerVmPerSecond()));
		return result;
	}

	private static double minSmallServedShare(AdmissionResult result) {
		return result.servedShares()
			.entrySet()
			.stream()
			.filter((entry) -> !FLOODING_ORGANISATION.equals(entry.getKey()))
			.mapToDouble(Map.Entry::getValue)
			.min()
			.orElse(0);
	}

	private static boolean reportBound(PrintStream out, String bound, boolean withinBounds) {
		out.println("admission | bound: " + bound + " | " + ((withinBounds) ? "held" : "BROKEN"));
		return withinBounds;
	}

}
