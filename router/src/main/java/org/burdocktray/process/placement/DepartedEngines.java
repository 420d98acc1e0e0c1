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
 * Remembers which layers engines held that have left, so that an engine which replaces
 * one, or the same one after a restart, is given just those. Invariant: an engine that is
 * listed again as the same start leaves no vacancy. Thread safety: none, confined to one
 * event loop.
 */
public final class DepartedEngines {

	/** An engine that has not been replaced by then is not expected to be. */
	private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final Map<String, Replica> present = new HashMap<>();

	private final Map<String, Vacancy> vacancies = new HashMap<>();

	/**
	 * Takes in which engines get work now.
	 * @param engines the engines of all data centres
	 * @param nowNanos the time
	 */
	public void observe(Collection<Replica> engines, long nowNanos) {
		Map<String, Replica> next = new HashMap<>();
		for (Replica engine : engines) {
			next.put(start(engine), engine);
			this.vacancies.remove(start(engine));
		}
		this.present.forEach((start, engine) -> {
			if (!next.containsKey(start) && engine.layers().isPresent()) {
				this.vacancies.put(start, new Vacancy(engine, nowNanos));
			}
		});
		this.present.clear();
		this.present.putAll(next);
		this.vacancies.values().removeIf((vacancy) -> nowNanos - vacancy.sinceNanos() > KEPT_NANOS);
	}

	/**
	 * Returns the engines of a service that left a data centre and were not replaced.
	 * @param service the service
	 * @param dataCentre the data centre
	 * @return the engines as they were, those that left first first
	 */
	public List<Replica> unreplaced(String service, DataCentre dataCentre) {
		List<Vacancy> found = new ArrayList<>(this.vacancies.values());
		found.removeIf((vacancy) -> !vacancy.engine().service().equals(service)
				|| !vacancy.engine().dataCentre().equals(dataCentre));
		found.sort((one, other) -> Long.compare(one.sinceNanos(), other.sinceNanos()));
		return found.stream().map(Vacancy::engine).toList();
	}

	/**
	 * Notes that an engine was given layers, and so replaces one that held just those.
	 * @param engine the engine, with its layers
	 */
	public void markReplaced(Replica engine) {
		Iterator<Vacancy> rest = this.vacancies.values().iterator();
		while (rest.hasNext()) {
			Replica gone = rest.next().engine();
			if (gone.service().equals(engine.service()) && gone.dataCentre().equals(engine.dataCentre())
					&& gone.layers().equals(engine.layers())) {
				rest.remove();
				return;
			}
		}
	}

	private static String start(Replica engine) {
		return engine.id() + " " + engine.startedAtMillis();
	}

	private record Vacancy(Replica engine, long sinceNanos) {

	}

}
