package org.burdocktray.version.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.burdocktray.version.bundle.Model;

/**
 * Computes the maximum flow of one model when all its layer boundaries share each link.
 * This is not a maximum flow problem of a graph but a linear program over paths, solved
 * by the simplex method with column generation: in each iteration the dual prices of
 * groups and links determine the path that improves the objective most, until none
 * improves it. Invariant: the upper bound is derived from the prices only and holds even
 * if the method stops early. Thread safety: none, confined to one solver.
 */
final class PathProgram {

	private static final double OPTIMALITY_TOLERANCE = 1e-7;

	private static final int NONE = -1;

	private static final int MAX_ITERATIONS = 5000;

	/** Tokens per second in a unit of flow. Scales the coefficients to the order of 1. */
	private static final double TOKENS_PER_UNIT = 1000;

	private final Model model;

	private final List<StageGroup> groups;

	private final LinkCapacities links;

	private final List<Integer> fromLastLayer = new ArrayList<>();

	private final Map<LinkId, Integer> linkRows = new HashMap<>();

	private final List<List<Hop>> hops = new ArrayList<>();

	private final List<Path> paths = new ArrayList<>();

	private double upperBound = Double.MAX_VALUE;

	PathProgram(Model model, List<StageGroup> groups, LinkCapacities links) {
		this.model = model;
		this.groups = groups;
		this.links = links;
		for (int i = 0; i < groups.size(); i++) {
			if (groups.get(i).tokensPerSecond() > 0) {
				this.fromLastLayer.add(i);
			}
		}
		this.fromLastLayer.sort(Comparator.comparing((index) -> -groups.get(index).fromLayer()));
		for (StageGroup group : groups) {
			this.hops.add(this.fromLastLayer.stream()
				.filter((to) -> group.toLayer() == groups.get(to).fromLayer())
				.filter((to) -> links.exists(group.dataCentre(), groups.get(to).dataCentre()))
				.map((to) -> createHop(new LinkId(group.dataCentre(), groups.get(to).dataCentre()), to))
				.toList());
		}
	}

	private Hop createHop(LinkId link, int toGroup) {
		long bytesPerSecond = this.links.bytesPerSecond(link.from(), link.to());
		if (bytesPerSecond == Long.MAX_VALUE) {
			return new Hop(toGroup, NONE, 0);
		}
		int row = this.linkRows.computeIfAbsent(link, (ignored) -> this.groups.size() + this.linkRows.size());
		return new Hop(toGroup, row, TOKENS_PER_UNIT * this.model.activationBytesPerToken() / bytesPerSecond);
	}

	/**
	 * Solves the linear program.
	 * @return the upper bound and the flow over each link at each boundary
	 */
	Result solve() {
		int rows = this.groups.size() + this.linkRows.size();
		PackingBasis basis = new PackingBasis(rows);
		int iterations = 0;
		while (iterations < MAX_ITERATIONS && improve(basis, rows)) {
			iterations++;
		}
		return new Result(this.upperBound * TOKENS_PER_UNIT, linkUses(basis.values(this.paths.size())));
	}

	private boolean improve(PackingBasis basis, int rows) {
		double[] prices = basis.prices();
		int cheapest = findCheapestRow(prices);
		if (cheapest >= 0 && prices[cheapest] < -OPTIMALITY_TOLERANCE) {
			double[] coefficients = new double[rows];
			coefficients[cheapest] = 1;
			return basis.enter(PackingBasis.slackColumn(cheapest), 0, coefficients);
		}
		for (int row = 0; row < rows; row++) {
			prices[row] = Math.max(0, prices[row]);
		}
		Path path = findCheapestPath(prices);
		if (path.groupIndexes().isEmpty()) {
			this.upperBound = 0;
			return false;
		}
		tightenBound(prices, path.price());
		if (path.price() >= 1 - OPTIMALITY_TOLERANCE) {
			return false;
		}
		this.paths.add(path);
		return basis.enter(this.paths.size() - 1, 1, coefficients(path, rows));
	}

	private void tightenBound(double[] prices, double cheapestPathPrice) {
		// Prices scaled so that no path improves the objective are a feasible dual
		// solution. By weak duality, their sum is an upper bound.
		if (cheapestPathPrice <= 0) {
			return;
		}
		double sum = 0;
		for (double price : prices) {
			sum += price;
		}
		this.upperBound = Math.min(this.upperBound, sum / cheapestPathPrice);
	}

	private static int findCheapestRow(double[] prices) {
		int cheapest = -1;
		for (int row = 0; row < prices.length; row++) {
			if (cheapest < 0 || prices[row] < prices[cheapest]) {
				cheapest = row;
			}
		}
		return cheapest;
	}

	private Path findCheapestPath(double[] prices) {
		int[] nextHops = new int[this.groups.size()];
		double[] pathPrices = new double[this.groups.size()];
		int first = NONE;
		for (int index : this.fromLastLayer) {
			nextHops[index] = findCheapestHop(index, pathPrices, prices);
			pathPrices[index] = prices[index] * groupUse(index)
					+ priceAfter(index, nextHops[index], pathPrices, prices);
			boolean isStart = this.groups.get(index).fromLayer() == 0 && Double.isFinite(pathPrices[index]);
			if (isStart && (first == NONE || pathPrices[index] < pathPrices[first])) {
				first = index;
			}
		}
		return (first == NONE) ? Path.EMPTY : tracePath(first, nextHops, pathPrices[first]);
	}

	private Path tracePath(int first, int[] nextHops, double price) {
		List<Integer> indexes = new ArrayList<>();
		for (int index = first; index != NONE; index = next(index, nextHops)) {
			indexes.add(index);
		}
		return new Path(indexes, price);
	}

	private int next(int index, int[] nextHops) {
		return (nextHops[index] == NONE) ? NONE : this.hops.get(index).get(nextHops[index]).toGroup();
	}

	private int findCheapestHop(int index, double[] pathPrices, double[] prices) {
		List<Hop> candidates = this.hops.get(index);
		int best = NONE;
		double bestPrice = Double.POSITIVE_INFINITY;
		for (int i = 0; i < candidates.size(); i++) {
			double candidatePrice = candidates.get(i).price(prices) + pathPrices[candidates.get(i).toGroup()];
			if (candidatePrice < bestPrice) {
				best = i;
				bestPrice = candidatePrice;
			}
		}
		return best;
	}

	private double priceAfter(int index, int hop, double[] pathPrices, double[] prices) {
		if (this.groups.get(index).toLayer() == this.model.layers()) {
			return 0;
		}
		if (hop == NONE) {
			return Double.POSITIVE_INFINITY;
		}
		Hop nextHop = this.hops.get(index).get(hop);
		return nextHop.price(prices) + pathPrices[nextHop.toGroup()];
	}

	private double[] coefficients(Path path, int rows) {
		double[] coefficients = new double[rows];
		int previous = NONE;
		for (int index : path.groupIndexes()) {
			coefficients[index] += groupUse(index);
			if (previous != NONE) {
				findHop(previous, index).addCoefficient(coefficients);
			}
			previous = index;
		}
		return coefficients;
	}

	private Hop findHop(int from, int to) {
		return this.hops.get(from).stream().filter((hop) -> hop.toGroup() == to).findFirst().orElseThrow();
	}

	private double groupUse(int index) {
		return TOKENS_PER_UNIT / this.groups.get(index).tokensPerSecond();
	}

	private Map<LinkUse, Long> linkUses(double[] values) {
		Map<LinkUse, Double> used = new HashMap<>();
		for (int column = 0; column < values.length; column++) {
			int previous = NONE;
			for (int index : this.paths.get(column).groupIndexes()) {
				if (previous != NONE) {
					StageGroup from = this.groups.get(previous);
					LinkUse use = new LinkUse(this.model.name(), from.toLayer(), from.dataCentre(),
							this.groups.get(index).dataCentre());
					used.merge(use, values[column], Double::sum);
				}
				previous = index;
			}
		}
		Map<LinkUse, Long> milliTokens = new HashMap<>();
		used.forEach(
				(use, amount) -> milliTokens.put(use, (long) Math.floor(amount * TOKENS_PER_UNIT * LayerFlow.MILLI)));
		return milliTokens;
	}

	/**
	 * The solution. Thread safety: immutable.
	 *
	 * @param upperBoundTokensPerSecond an upper bound on the flow
	 * @param linkMilliTokens the flow over each link at each boundary, in thousandths of
	 * tokens per second; missing entries are 0
	 */
	record Result(double upperBoundTokensPerSecond, Map<LinkUse, Long> linkMilliTokens) {

		Result {
			linkMilliTokens = Map.copyOf(linkMilliTokens);
		}

	}

	/**
	 * A transition from one group to the next. Thread safety: immutable.
	 *
	 * @param toGroup the index of the next group
	 * @param linkRow the row of the link, {@link #NONE} if it is unlimited
	 * @param linkUse the share of the link's capacity that one unit of flow uses
	 */
	private record Hop(int toGroup, int linkRow, double linkUse) {

		double price(double[] prices) {
			return (this.linkRow == NONE) ? 0 : prices[this.linkRow] * this.linkUse;
		}

		void addCoefficient(double[] coefficients) {
			if (this.linkRow != NONE) {
				coefficients[this.linkRow] += this.linkUse;
			}
		}

	}

	/**
	 * A path through all layers. Thread safety: immutable.
	 *
	 * @param groupIndexes the groups in the order of their layers, empty if there is no
	 * path
	 * @param price the sum of the dual prices along the path
	 */
	private record Path(List<Integer> groupIndexes, double price) {

		static final Path EMPTY = new Path(List.of(), Double.POSITIVE_INFINITY);

	}

}
