package org.burdocktray.request.overload;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.burdocktray.process.demand.ClassLoad;
import org.burdocktray.process.demand.DemandClass;
import org.burdocktray.process.demand.DemandReport;
import org.burdocktray.process.demand.OrganisationShare;
import org.burdocktray.process.limits.DecayingRate;

/**
 * Turns the admitted share of a priority into decisions on requests. The share is
 * allocated by max-min fairness over the tokens of organisations: those that ask for less
 * than an equal part are served first, so one at ten times its part takes nothing from
 * the others. Requests of an organisation are admitted evenly, whatever their length.
 * Invariant: the number of organisations is bounded; the longest unused are forgotten.
 * Thread safety: none, confined to one event loop.
 */
final class OrganisationFairness {

	private static final int MAX_ORGANISATIONS = 2_048;

	private static final long ARRIVAL_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** A lower count is that of an organisation that has not asked for long. */
	private static final double MIN_COUNT = 1e-6;

	private static final double MIN_REQUIRED_CREDIT = 0.5;

	private static final int LEVEL_STEPS = 40;

	/** The organisations that the report does not name; no organisation has this name. */
	private static final String OTHERS = "\0others";

	private final RandomGenerator random;

	private final Map<Key, Account> accounts = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Account> eldest) {
			return size() > MAX_ORGANISATIONS;
		}
	};

	private final Map<DemandClass, Map<String, Double>> sharesByClass = new HashMap<>();

	OrganisationFairness(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Computes the shares of organisations anew.
	 * @param demandClass the service and priority
	 * @param share the share of all its requests that is admitted
	 * @param fleet the demand of the fleet
	 * @param nowNanos the current time of the monotonic clock
	 */
	void update(DemandClass demandClass, double share, DemandReport fleet, long nowNanos) {
		if (share >= 1) {
			this.sharesByClass.remove(demandClass);
			return;
		}
		ClassLoad load = fleet.of(demandClass);
		double tokens = load.promptTokensPerSecond() + load.outputTokensPerSecond();
		this.sharesByClass.put(demandClass,
				shares(demands(demandClass, fleet, nowNanos), share, Math.max(tokens, load.requestsPerSecond())));
	}

	// The report has one rate for all priorities of an organisation. It is divided as the
	// requests that this VM has seen.
	private Map<String, Double> demands(DemandClass demandClass, DemandReport fleet, long nowNanos) {
		Map<String, Double> ofClass = new HashMap<>();
		Map<String, Double> ofAll = new HashMap<>();
		this.accounts.forEach((key, account) -> {
			if (key.demandClass().service().equals(demandClass.service())) {
				double count = account.arrivals.count(nowNanos);
				ofAll.merge(key.organisation(), count, Double::sum);
				if (key.demandClass().equals(demandClass)) {
					ofClass.put(key.organisation(), count);
				}
			}
		});
		Map<String, Double> demands = new HashMap<>();
		ofClass.forEach((organisation, count) -> {
			double rate = fleet.organisationTokensPerSecond()
				.getOrDefault(new OrganisationShare(demandClass.service(), organisation), 0.0);
			double demand = rate * count / Math.max(MIN_COUNT, ofAll.get(organisation));
			if (demand > 0) {
				demands.put(organisation, demand);
			}
		});
		return demands;
	}

	// The report names the organisations with the highest demand only. None of the others
	// asks for more than those.
	private static Map<String, Double> shares(Map<String, Double> demands, double share, double classTokens) {
		double named = demands.values().stream().mapToDouble(Double::doubleValue).sum();
		if (demands.isEmpty() || named <= 0 || classTokens <= 0) {
			return Map.of();
		}
		double scale = Math.min(1, classTokens / named);
		demands.replaceAll((organisation, rate) -> scale * rate);
		double others = Math.max(0, classTokens - scale * named);
		double level = level(demands.values().stream().sorted(Comparator.naturalOrder()).toList(), others,
				share * classTokens);
		Map<String, Double> shares = new HashMap<>();
		demands.forEach((organisation, rate) -> shares.put(organisation, Math.min(1, level / rate)));
		double smallest = demands.values().stream().mapToDouble(Double::doubleValue).min().orElse(level);
		shares.put(OTHERS, Math.min(1, level / smallest));
		return shares;
	}

	// Finds the rate at which organisations are cut so that the sum is what is admitted.
	private static double level(List<Double> demands, double others, double admitted) {
		double smallest = demands.get(0);
		double low = 0;
		double high = demands.get(demands.size() - 1);
		for (int step = 0; step < LEVEL_STEPS; step++) {
			double level = (low + high) / 2;
			double sum = others * Math.min(1, level / smallest)
					+ demands.stream().mapToDouble((demand) -> Math.min(demand, level)).sum();
			if (sum < admitted) {
				low = level;
			}
			else {
				high = level;
			}
		}
		return (low + high) / 2;
	}

	/**
	 * Returns the share of the requests of one organisation that is admitted.
	 * @param demandClass the service and priority
	 * @param organisation the organisation
	 * @param share the share of all requests of this class that is admitted
	 * @return 0 to 1
	 */
	double share(DemandClass demandClass, String organisation, double share) {
		Map<String, Double> shares = this.sharesByClass.getOrDefault(demandClass, Map.of());
		return shares.getOrDefault(organisation, shares.getOrDefault(OTHERS, share));
	}

	/**
	 * Decides on one request.
	 * @param demandClass its service and priority
	 * @param organisation its organisation
	 * @param share the share of such requests that is admitted
	 * @param nowNanos the current time of the monotonic clock
	 * @return whether it is admitted
	 */
	boolean admit(DemandClass demandClass, String organisation, double share, long nowNanos) {
		Key key = new Key(demandClass, organisation);
		// VMs begin at different points, or all would admit their first requests at once.
		Account account = this.accounts.computeIfAbsent(key,
				(missing) -> new Account(this.random.nextDouble(), nowNanos));
		account.arrivals.add(1, nowNanos);
		account.credit += share;
		if (account.credit < account.requiredCredit && share < 1) {
			return false;
		}
		account.credit = Math.max(0, account.credit - account.requiredCredit);
		// With a constant value, a share of one half would always reject the same one of
		// two requests that alternate.
		account.requiredCredit = this.random.nextDouble(MIN_REQUIRED_CREDIT, 2 - MIN_REQUIRED_CREDIT);
		return true;
	}

	private static final class Account {

		/** The admissions that the organisation is owed. */
		private double credit;

		/** The credit for which the next request is admitted, 1 in the mean. */
		private double requiredCredit = 1;

		private final DecayingRate arrivals;

		private Account(double credit, long nowNanos) {
			this.credit = credit;
			this.arrivals = new DecayingRate(ARRIVAL_WINDOW_NANOS, nowNanos);
		}

	}

	private record Key(DemandClass demandClass, String organisation) {

	}

}
