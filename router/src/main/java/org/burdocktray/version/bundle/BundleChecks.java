package org.burdocktray.version.bundle;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.burdocktray.version.config.ConfigEntry;
import org.burdocktray.version.config.ConfigObject;

/**
 * Checks the consistency between the entries of a bundle: unique names, references, links
 * and layer coverage. Thread safety: confined to the thread that reads the file.
 */
final class BundleChecks {

	private final BundleEntries entries;

	private final Set<String> modelNames;

	private BundleChecks(BundleEntries entries) {
		this.entries = entries;
		this.modelNames = entries.models()
			.stream()
			.flatMap((entry) -> entry.source().peekText("name").stream())
			.collect(Collectors.toUnmodifiableSet());
	}

	static void check(BundleEntries entries) {
		BundleChecks checks = new BundleChecks(entries);
		checks.checkUniqueNames();
		checks.checkEngines();
		checks.checkLinks();
		checks.checkOrganisations();
		checks.checkCoverage();
	}

	private void checkUniqueNames() {
		UniqueFields.check(this.entries.models(), "name");
		UniqueFields.check(this.entries.services(), "name");
		UniqueFields.check(this.entries.organisations(), "name");
		UniqueFields.check(this.entries.engines(), "address");
		List<ConfigEntry<?>> upstreams = new ArrayList<>(this.entries.engines());
		upstreams.addAll(replicas());
		UniqueFields.check(upstreams, "name");
	}

	private List<ConfigEntry<?>> replicas() {
		return this.entries.services()
			.stream()
			.flatMap((entry) -> entry.source().peekObjects("replicas").stream())
			.<ConfigEntry<?>>map((source) -> new ConfigEntry<>(source, Optional.empty()))
			.toList();
	}

	private void checkEngines() {
		for (ConfigEntry<Engine> entry : this.entries.engines()) {
			checkModelOf(entry.source());
			entry.value().ifPresent((engine) -> checkLayersOf(engine, entry.source()));
		}
	}

	private void checkModelOf(ConfigObject source) {
		Optional<String> model = source.peekText("model");
		if (model.isPresent() && !this.modelNames.contains(model.get())) {
			source.addFault("model", "the name of a model of this bundle", "\"" + model.get() + "\"");
		}
	}

	private void checkLayersOf(Engine engine, ConfigObject source) {
		if (engine.toLayer() <= engine.fromLayer()) {
			source.addFault("toLayer", "a layer above fromLayer, which is " + engine.fromLayer(),
					String.valueOf(engine.toLayer()));
			return;
		}
		validModels().filter((model) -> model.name().equals(engine.model()))
			.filter((model) -> engine.toLayer() > model.layers())
			.findFirst()
			.ifPresent((model) -> source.addFault("toLayer",
					"at most " + model.layers() + ", the layers of " + model.name(), String.valueOf(engine.toLayer())));
	}

	private void checkLinks() {
		Set<String> dataCentres = Stream
			.concat(this.entries.engines().stream().map(ConfigEntry::source),
					replicas().stream().map(ConfigEntry::source))
			.flatMap((source) -> source.peekText("dataCentre").stream())
			.collect(Collectors.toUnmodifiableSet());
		Set<String> pairs = new HashSet<>();
		for (ConfigEntry<Link> entry : this.entries.links()) {
			checkDataCentre(entry.source(), "from", dataCentres);
			checkDataCentre(entry.source(), "to", dataCentres);
			entry.value()
				.map((link) -> link.from() + " to " + link.to())
				.filter((pair) -> !pairs.add(pair))
				.ifPresent((pair) -> entry.source().addFault("to", "one link for each pair", "a second link " + pair));
		}
	}

	private void checkDataCentre(ConfigObject source, String field, Set<String> dataCentres) {
		Optional<String> dataCentre = source.peekText(field);
		if (dataCentre.isPresent() && !dataCentres.contains(dataCentre.get())) {
			source.addFault(field, "the data centre of an engine or replica", "\"" + dataCentre.get() + "\"");
		}
	}

	private void checkOrganisations() {
		Set<String> digests = new HashSet<>();
		for (ConfigEntry<Organisation> entry : this.entries.organisations()) {
			entry.value().ifPresent((organisation) -> {
				checkModels(organisation, entry.source());
				checkDigests(organisation, entry.source(), digests);
			});
		}
	}

	private void checkModels(Organisation organisation, ConfigObject source) {
		for (int index = 0; index < organisation.models().size(); index++) {
			String model = organisation.models().get(index);
			if (!this.modelNames.contains(model)) {
				source.addItemFault("models", index, "the name of a model of this bundle", "\"" + model + "\"");
			}
		}
	}

	private static void checkDigests(Organisation organisation, ConfigObject source, Set<String> digests) {
		for (int index = 0; index < organisation.keyDigests().size(); index++) {
			if (!digests.add(organisation.keyDigests().get(index))) {
				source.addItemFault("keyDigests", index, "a digest that no other key has", "a duplicate digest");
			}
		}
	}

	// The coverage can't be computed if an engine or link has a fault.
	private void checkCoverage() {
		boolean isIncomplete = Stream.concat(this.entries.engines().stream(), this.entries.links().stream())
			.anyMatch((entry) -> entry.value().isEmpty());
		if (isIncomplete) {
			return;
		}
		LayerCoverage coverage = new LayerCoverage(values(this.entries.engines()), values(this.entries.links()));
		for (ConfigEntry<Model> entry : this.entries.models()) {
			entry.value()
				.filter((model) -> coverage.reachableLayer(model) < model.layers())
				.ifPresent((model) -> entry.source()
					.addFault("layers", "linked engines that hold all " + model.layers() + " layers in turn",
							"a path of engines that ends at layer " + coverage.reachableLayer(model)));
		}
	}

	private Stream<Model> validModels() {
		return this.entries.models().stream().map(ConfigEntry::value).flatMap(Optional::stream);
	}

	private static <T> List<T> values(List<ConfigEntry<T>> entries) {
		return entries.stream().map(ConfigEntry::value).flatMap(Optional::stream).toList();
	}

}
