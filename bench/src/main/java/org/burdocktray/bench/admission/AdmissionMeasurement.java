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
 * Goodput within the deadline under overload, and the shares of small organisations
 * beside a flooding one. Thread safety: stateless.
 */
public final class AdmissionMeasurement implements Measurement {

	private static final double GOODPUT_BOUND = 0.85;

	private static final double SMALL_SHARE_BOUND = 0.85;

	private static final double FIRST_TOKEN_MILLIS = 720;

	private static final double BASE_LOAD = 0.8;

	private static final double OVERLOAD = 1.5;

	private static final int ORGANISATIONS = 10;

	private static final double SMALL_DEMAND = 0.9;

	private static final String FLOODING = "flooding";

	private static final int FLEET_PLACES = 4800;

	private static final int TARGET_FLEET_PLACES = 48_000;

	private static final int TARGET_VMS = 320;

	private static final int SLOW_VMS = 9;

	private static final double SLOW_ENGINES = 0.5;

	private static final int WARM_UP_SECONDS = 60;

	private static final int QUICK_SECONDS = 15;

	private static final int MEASURED_SECONDS = 60;

	private static final long SEED = 20_261_203;

	private static final List<Integer> VMS = List.of(1, 9, 40, TARGET_VMS);

	private static final List<Double> LOADS = List.of(BASE_LOAD, 1.0, OVERLOAD, 3.0);

	@Override
	public String name() {
		return "admission";
	}

	@Override
	public boolean run(PrintStream out, boolean quick) {
		boolean held = true;
		out.println("admission | vms places load speed | policy | goodput/bound | wait p95 ms | refused | longest "
				+ "refusal ms | least small share | messages/VM/s");
		for (int vms : VMS) {
			for (double load : LOADS) {
				held &= compare(out, scenario(vms, FLEET_PLACES, evenly(load, FLEET_PLACES), 1, quick), load);
			}
			held &= compare(out, scenario(vms, FLEET_PLACES, flooded(FLEET_PLACES), 1, quick), FLOODING);
		}
		Scenario slow = scenario(SLOW_VMS, FLEET_PLACES, evenly(OVERLOAD * SLOW_ENGINES, FLEET_PLACES), SLOW_ENGINES,
				quick);
		held &= compare(out, slow, OVERLOAD);
		if (!quick) {
			held &= compare(out,
					scenario(TARGET_VMS, TARGET_FLEET_PLACES, evenly(OVERLOAD, TARGET_FLEET_PLACES), 1, false),
					OVERLOAD);
			held &= compare(out, scenario(TARGET_VMS, TARGET_FLEET_PLACES, flooded(TARGET_FLEET_PLACES), 1, false),
					FLOODING);
		}
		return held;
	}

	private static Scenario scenario(int vms, int places, List<Scenario.OrganisationLoad> organisations, double speed,
			boolean quick) {
		return new Scenario(vms, places, organisations, speed, (int) (WARM_UP_SECONDS / speed),
				(quick) ? QUICK_SECONDS : MEASURED_SECONDS, SEED);
	}

	private static List<Scenario.OrganisationLoad> evenly(double load, int places) {
		List<Scenario.OrganisationLoad> organisations = new ArrayList<>();
		double each = load * requestsPerSecond(places) / ORGANISATIONS;
		for (int number = 0; number < ORGANISATIONS; number++) {
			organisations.add(new Scenario.OrganisationLoad("small-" + number, each));
		}
		return organisations;
	}

	private static List<Scenario.OrganisationLoad> flooded(int places) {
		List<Scenario.OrganisationLoad> organisations = new ArrayList<>(
				evenly(SMALL_DEMAND, places).subList(1, ORGANISATIONS));
		organisations.add(new Scenario.OrganisationLoad(FLOODING, requestsPerSecond(places)));
		return organisations;
	}

	private static double requestsPerSecond(int places) {
		return places * Scenario.TOKENS_PER_SECOND_PER_STREAM / Scenario.MEAN_TOKENS;
	}

	private static boolean compare(PrintStream out, Scenario scenario, double load) {
		AdmissionResult ours = compareAll(out, scenario, String.valueOf(load));
		if (load < 1) {
			return verdict(out, "wait p95 + first token <= 720 ms",
					ours.queueingP95Millis() + Scenario.FIRST_TOKEN_MILLIS <= FIRST_TOKEN_MILLIS);
		}
		if (load < OVERLOAD) {
			return true;
		}
		return verdict(out, "goodput >= 0.85", ours.goodputRatio() >= GOODPUT_BOUND);
	}

	private static boolean compare(PrintStream out, Scenario scenario, String load) {
		AdmissionResult ours = compareAll(out, scenario, load);
		boolean goodput = verdict(out, "goodput >= 0.85", ours.goodputRatio() >= GOODPUT_BOUND);
		return verdict(out, "each small organisation gets >= 0.85 of what it asks",
				leastSmallShare(ours) >= SMALL_SHARE_BOUND) && goodput;
	}

	private static AdmissionResult compareAll(PrintStream out, Scenario scenario, String load) {
		int whole = scenario.fleetSlots();
		int vms = scenario.vms();
		AdmissionResult ours = measure(out, scenario, load, "fair share", (vm) -> new FairShareVm(vm, scenario, true));
		measure(out, scenario, load, "fair share, cut off", (vm) -> new FairShareVm(vm, scenario, false));
		measure(out, scenario, load, "none", (vm) -> VmAdmission.unlimited());
		measure(out, scenario, load, "fixed limit, queue",
				(vm) -> new VmAdmission.QueueingLimit(SlotShare.ownShare(whole, vm, vms)));
		measure(out, scenario, load, "fixed limit, refuse",
				(vm) -> new VmAdmission.RefusingLimit(SlotShare.ownShare(whole, vm, vms)));
		return ours;
	}

	private static AdmissionResult measure(PrintStream out, Scenario scenario, String load, String policy,
			IntFunction<VmAdmission> admission) {
		AdmissionResult figures = new AdmissionSimulation(scenario, admission).run();
		out.println(
				String.format(Locale.ROOT, "admission | %d %d %s %.1f | %s | %.3f | %.0f | %.3f | %.0f | %.3f | %.1f",
						scenario.vms(), scenario.fleetSlots(), load, scenario.engineSpeed(), policy,
						figures.goodputRatio(), figures.queueingP95Millis(), figures.refusedShare(),
						figures.longestRefusalMillis(), leastSmallShare(figures), figures.messagesPerVmPerSecond()));
		return figures;
	}

	private static double leastSmallShare(AdmissionResult figures) {
		return figures.servedShares()
			.entrySet()
			.stream()
			.filter((entry) -> !FLOODING.equals(entry.getKey()))
			.mapToDouble(Map.Entry::getValue)
			.min()
			.orElse(0);
	}

	private static boolean verdict(PrintStream out, String bound, boolean held) {
		out.println("admission | bound: " + bound + " | " + ((held) ? "held" : "BROKEN"));
		return held;
	}

}
