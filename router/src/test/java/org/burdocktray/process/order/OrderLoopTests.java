package org.burdocktray.process.order;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.burdocktray.connection.engine.EngineOrderClient;
import org.burdocktray.connection.engine.HttpEngineOrderClient;
import org.burdocktray.connection.engine.LoadedModel;
import org.burdocktray.connection.platform.HttpPlatformStore;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.standins.HttpStandIn;
import org.burdocktray.standins.engine.EngineFaults;
import org.burdocktray.standins.engine.EngineOptions;
import org.burdocktray.standins.engine.EngineStandIn;
import org.burdocktray.standins.platform.PlatformStandIn;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Limits;
import org.burdocktray.version.bundle.Model;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests order loops over real connections to stand-ins of the platform and of engines.
 */
class OrderLoopTests {

	private static final OrderSettings FAST = new OrderSettings(2_000, 300, 300, 100, 100, 100, 60_000);

	private static final long WAIT_SECONDS = 60;

	private static final long ORDERS_PER_SECOND = 1_000;

	private final Vertx vertx = Vertx.vertx();

	private final PlatformStandIn platform = new PlatformStandIn();

	private final List<EngineStandIn> engines = List.of(engine("e1", true), engine("e2", false));

	private HttpPlatformStore store;

	private EngineOrderClient orders;

	@BeforeEach
	void start() {
		this.platform.start(0);
		this.engines.forEach((engine) -> engine.start(0));
		HttpClient http = this.vertx.createHttpClient();
		this.store = new HttpPlatformStore(http, address(this.platform), 1_000);
		this.orders = new HttpEngineOrderClient(http);
	}

	@AfterEach
	void stop() {
		this.engines.forEach(HttpStandIn::stop);
		this.platform.stop();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void enginesReachTheBundleStateAlsoUnderTheNextHolder() {
		OrderLoop first = loop("vm1-1");
		first.applyBundle(bundle(2));
		await(() -> allHaveLoaded("2"));
		assertThat(holderOfLease()).isEqualTo("vm1-1");
		OrderLoop second = loop("vm2-1");
		second.applyBundle(bundle(3));
		first.dispose();
		await(() -> allHaveLoaded("3"));
		assertThat(holderOfLease()).isEqualTo("vm2-1");
		second.dispose();
	}

	@Test
	void frozenEngineReachesTheNewestStateOnceItResponds() {
		OrderLoop loop = loop("vm1-1");
		this.engines.get(0).applyFaults(new EngineFaults(true, 0, "", 0, 0, false, false, 0, false));
		loop.applyBundle(bundle(2));
		await(() -> hasLoaded(this.engines.get(1), "2"));
		loop.applyBundle(bundle(3));
		loop.applyBundle(bundle(2));
		await(() -> hasLoaded(this.engines.get(1), "3"));
		this.engines.get(0).applyFaults(EngineFaults.NONE);
		await(() -> allHaveLoaded("3"));
		loop.dispose();
	}

	private OrderLoop loop(String holder) {
		return new OrderLoop(holder, this.store, this.orders, FAST, ORDERS_PER_SECOND, (group) -> true,
				Schedulers.computation(), System::nanoTime);
	}

	private static EngineStandIn engine(String name, boolean checksFencing) {
		return new EngineStandIn(EngineOptions.of(name, "panel-7b", "1", 0, 12).withChecksFencing(checksFencing));
	}

	private Bundle bundle(long version) {
		Model model = new Model("panel-7b", Long.toString(version), 12, 8, 64);
		return new Bundle(version, List.of(model), List.of(entry("e1", 0), entry("e2", 1)), List.of(), List.of(),
				List.of(), List.of(), List.of(), new Limits(1, 1, 1, 1, 1, 1, 1, 1, 0, 1));
	}

	private Engine entry(String name, int index) {
		return new Engine(name, new DataCentre("ghent"), address(this.engines.get(index)), "panel-7b", 0, 12, "a", 100,
				8, List.of(), index == 0);
	}

	private String holderOfLease() {
		return this.store.read("leases/orders/panel-7b-0-12")
			.map((object) -> OrderLease.of(object.get().orElseThrow(), 0).holder())
			.blockingGet();
	}

	private boolean allHaveLoaded(String modelVersion) {
		return this.engines.stream().allMatch((engine) -> hasLoaded(engine, modelVersion));
	}

	private boolean hasLoaded(EngineStandIn engine, String modelVersion) {
		return this.orders.fetchLoadedModel(entry("any", this.engines.indexOf(engine)), 1_000)
			.blockingGet()
			.equals(Optional.of(new LoadedModel("panel-7b", modelVersion)));
	}

	private static void await(BooleanSupplier condition) {
		Observable.interval(0, 20, TimeUnit.MILLISECONDS)
			.filter((tick) -> condition.getAsBoolean())
			.timeout(WAIT_SECONDS, TimeUnit.SECONDS)
			.blockingFirst();
	}

	private static NetworkAddress address(HttpStandIn standIn) {
		return NetworkAddress.parse(standIn.address()).orElseThrow();
	}

}
