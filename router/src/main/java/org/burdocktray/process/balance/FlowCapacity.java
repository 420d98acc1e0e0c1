package org.burdocktray.process.balance;

import java.util.ArrayList;
import java.util.List;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.version.rules.EngineProfile;

/**
 * Computes what engines can serve together, for the decision which layers they hold.
 * Engines count with the speed of their accelerator kind. Thread safety: immutable.
 *
 * @param profile the performance profile of the engines
 * @param targets the targets of the streams
 */
public record FlowCapacity(EngineProfile profile, StreamTargets targets) {

	private static final double NO_SLOWDOWN = 1;

	/**
	 * Returns the rate of typical requests that engines bear.
	 * @param engines the engines of one data centre; those without layers do not count
	 * @return requests per second, 0 if the engines do not hold all layers
	 */
	public double requestsPerSecond(List<Replica> engines) {
		return EngineFlow.estimate(flowEngines(engines), new PassTimes(this.profile), this.targets);
	}

	private List<FlowEngine> flowEngines(List<Replica> engines) {
		List<FlowEngine> result = new ArrayList<>(engines.size());
		for (Replica engine : engines) {
			engine.acceleratorKind()
				.flatMap(this.profile::kind)
				.ifPresent((kind) -> engine.layers()
					.ifPresent((held) -> result.add(new FlowEngine(engine, held, kind, NO_SLOWDOWN))));
		}
		return result;
	}

}
