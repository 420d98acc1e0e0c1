package org.burdocktray.process.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.Replica;

/**
 * Keeps the layers of engines that have left, so that the engine which replaces one, or
 * the same engine after a restart, gets exactly these layers. Invariant: an engine that
 * is listed again with the same start time is not departed. Thread safety: none, confined
 * to one event loop.
 */
public final class DepartedEngines {

	/** After this time a departed engine is no longer expected to be replaced. */
	private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final Map<String, Replica> listed = new HashMap<>();

	private final Map<String, Departure> departures = new HashMap<>();

	/**
	 * Updates the departed engines from the current list.
	 * @param engines the usable engines of all data centres
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void observe(Collection<Replica> engines, long nowNanos) {
		Map<String, Replica> next = new HashMap<>();
		for (Replica engine : engines) {
			next.put(instanceKey(engine), engine);
			this.departures.remove(instanceKey(engine));
		}
		this.listed.forEach((instance, engine) -> {
			if (!next.containsKey(instance) && engine.layers().isPresent()) {
				this.departures.put(instance, new Departure(engine, nowNanos));
			}
		});
		this.listed.clear();
		this.listed.putAll(next);
		this.departures.values().removeIf((departure) -> nowNanos - departure.sinceNanos() > RETENTION_NANOS);
	}

	/**
	 * Returns the engines of a service that left a data centre and were not replaced.
	 * @param service the name of the service
	 * @param dataCentre the data centre
	 * @return the engines with the layers that they held, in the order of departure
	 */
	public List<Replica> unreplaced(String service, DataCentre dataCentre) {
		List<Departure> found = new ArrayList<>(this.departures.values());
		found.removeIf((departure) -> !departure.engine().service().equals(service)
				|| !departure.engine().dataCentre().equals(dataCentre));
		found.sort((left, right) -> Long.compare(left.sinceNanos(), right.sinceNanos()));
		return found.stream().map(Departure::engine).toList();
	}

	/**
	 * Records that an engine was assigned layers. Removes the first departed engine that
	 * held exactly these layers.
	 * @param engine the engine with its assigned layers
	 */
	public void markReplaced(Replica engine) {
		Iterator<Departure> remaining = this.departures.values().iterator();
		while (remaining.hasNext()) {
			Replica departed = remaining.next().engine();
			if (departed.service().equals(engine.service()) && departed.dataCentre().equals(engine.dataCentre())
					&& departed.layers().equals(engine.layers())) {
				remaining.remove();
				return;
			}
		}
	}

	private static String instanceKey(Replica engine) {
		return engine.id() + " " + engine.startedAtMillis();
	}

	private record Departure(Replica engine, long sinceNanos) {

	}

}
