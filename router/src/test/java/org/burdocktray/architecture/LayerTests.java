package org.burdocktray.architecture;

import java.nio.file.Path;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;
import org.junit.jupiter.api.Test;

/**
 * Checks the permitted dependencies between layers and on transport libraries.
 */
class LayerTests {

	private static final String[] ADAPTERS = { "org.burdocktray.connection..", "org.burdocktray.process.serve..",
			"org.burdocktray.process.cli.." };

	private static final String[] TRANSPORTS = { "io.vertx..", "io.netty..", "java.net.http..", "java.nio.channels.." };

	private final JavaClasses classes = new ClassFileImporter().importPath(Path.of("target", "classes"));

	@Test
	void longerLivedLayersDoNotDependOnShorterLivedLayers() {
		Architectures.layeredArchitecture()
			.consideringOnlyDependenciesInLayers()
			.layer("model")
			.definedBy("org.burdocktray.model..")
			.layer("version")
			.definedBy("org.burdocktray.version..")
			.layer("connection")
			.definedBy("org.burdocktray.connection..")
			.layer("processState")
			.definedBy("org.burdocktray.process.claim..", "org.burdocktray.process.load..",
					"org.burdocktray.process.membership..", "org.burdocktray.process.limits..",
					"org.burdocktray.process.quarantine..", "org.burdocktray.process.settings..",
					"org.burdocktray.process.metrics..", "org.burdocktray.process.order..",
					"org.burdocktray.process.bundle..", "org.burdocktray.process.burn..",
					"org.burdocktray.process.directory..", "org.burdocktray.process.placement..",
					"org.burdocktray.process.freshness..", "org.burdocktray.process.demand..",
					"org.burdocktray.process.overload..", "org.burdocktray.process.balance..",
					"org.burdocktray.process.watch..", "org.burdocktray.process.pressure..",
					"org.burdocktray.process.relay..")
			.layer("request")
			.definedBy("org.burdocktray.request..")
			.layer("composition")
			.definedBy("org.burdocktray.process.serve..", "org.burdocktray.process.cli..")
			.whereLayer("composition")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("request")
			.mayOnlyBeAccessedByLayers("composition")
			.whereLayer("processState")
			.mayOnlyBeAccessedByLayers("request", "composition")
			.whereLayer("connection")
			.mayOnlyBeAccessedByLayers("processState", "request", "composition")
			.whereLayer("version")
			.mayOnlyBeAccessedByLayers("connection", "processState", "request", "composition")
			.check(this.classes);
	}

	@Test
	void onlyAdaptersDependOnTransports() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideOutsideOfPackages(ADAPTERS)
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage(TRANSPORTS)
			.check(this.classes);
	}

	@Test
	void productDoesNotDependOnStandIns() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAPackage("org.burdocktray.standins..")
			.check(this.classes);
	}

}
