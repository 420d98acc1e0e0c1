package org.burdocktray.bench.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.load.InFlight;
import org.burdocktray.process.load.UpstreamLoads;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Link;
import org.burdocktray.version.bundle.Model;
import org.burdocktray.version.routing.ModelRoutes;
import org.burdocktray.version.routing.RouteNode;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Streams in a closed loop over engines and links, in virtual time: each stream that ends
 * is followed at once by a new one, which a deciding node routes. Each node counts its
 * own requests; load reports of the engines reach it late. Prefill is not modelled. Two
 * runs with the same settings give the same figures. Thread safety: none.
 */
final class PipelineLoadModel {

	private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long REPORT_LAG_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final int MIN_STREAM_TOKENS = 50;

	private static final int MAX_STREAM_TOKENS = 250;

	/** A few of the prefixes are far more frequent than the others. */
	private static final int PREFIXES = 200;

	/** How full the engines that limit the flow are when streams follow the flow. */
	private static final double RESIDENCY = 0.8;

	private final LoadModelSettings settings;

	private final RoutingSnapshot snapshot;

	private final Map<String, EngineServer> servers = new LinkedHashMap<>();

	private final Map<DataCentre, Map<DataCentre, LinkServer>> links = new HashMap<>();

	private final List<Decider> deciders = new ArrayList<>();

	private final VirtualTime time = new VirtualTime();

	private final SplittableRandom random;

	private long deliveredTokens;

	private boolean counting;

	/**
	 * Creates the model.
	 * @param bundle the engines and links with their actual rates
	 * @param snapshot what the deciding nodes go by
	 * @param settings the settings
	 */
	PipelineLoadModel(Bundle bundle, RoutingSnapshot snapshot, LoadModelSettings settings) {
		this.settings = settings;
		this.snapshot = snapshot;
		this.random = new SplittableRandom(settings.seed());
		bundle.engines().forEach((engine) -> this.servers.put(engine.name(), new EngineServer(engine)));
		for (Link link : bundle.links()) {
			this.links.computeIfAbsent(link.from(), (ignored) -> new HashMap<>()).put(link.to(), new LinkServer(link));
		}
		List<DataCentre> dataCentres = bundle.engines().stream().map(Engine::dataCentre).distinct().sorted().toList();
		for (int i = 0; i < settings.deciders(); i++) {
			this.deciders.add(new Decider(dataCentres.get(i % dataCentres.size()), settings.policies().get(),
					new UpstreamLoads(this.time::nowNanos), this.random.split()));
		}
	}

	/**
	 * Runs the model.
	 * @return the delivered tokens a second
	 */
	double run() {
		int streams = 0;
		for (Model model : this.snapshot.bundle().models()) {
			int count = saturatingStreams(this.snapshot.routes(model.name()).orElseThrow());
			for (int i = 0; i < count; i++) {
				Decider decider = this.deciders.get(streams++ % this.deciders.size());
				long startNanos = this.random.nextLong(REPORT_INTERVAL_NANOS);
				this.time.at(startNanos, () -> start(decider, model, 1 + this.random.nextInt(MAX_STREAM_TOKENS)));
			}
		}
		this.servers.values().forEach(this::scheduleReport);
		long warmUpNanos = TimeUnit.SECONDS.toNanos(this.settings.warmUpSeconds());
		this.time.runUntil(warmUpNanos);
		this.counting = true;
		this.time.runUntil(warmUpNanos + TimeUnit.SECONDS.toNanos(this.settings.measuredSeconds()));
		return (double) this.deliveredTokens / this.settings.measuredSeconds();
	}

	private int saturatingStreams(ModelRoutes routes) {
		double streams = Double.MAX_VALUE;
		List<RouteNode> open = new ArrayList<>(routes.entries());
		while (!open.isEmpty()) {
			RouteNode node = open.remove(open.size() - 1);
			for (Engine engine : node.engines().items()) {
				double share = node.flowTokensPerSecond(engine) / routes.tokensPerSecond();
				if (share > 0) {
					streams = Math.min(streams, RESIDENCY * engine.maxConcurrentStreams() / share);
				}
			}
			open.addAll(node.successors());
		}
		return (int) Math.round(streams);
	}

	private void scheduleReport(EngineServer server) {
		long phaseNanos = this.random.nextLong(REPORT_INTERVAL_NANOS);
		this.time.at(phaseNanos, () -> report(server));
	}

	private void report(EngineServer server) {
		int inFlight = server.inFlight();
		this.time.after(REPORT_LAG_NANOS, () -> this.deciders
			.forEach((decider) -> decider.loads().recordReport(server.engine().name(), inFlight)));
		this.time.after(REPORT_INTERVAL_NANOS, () -> report(server));
	}

	private void start(Decider decider, Model model, int tokens) {
		PipelineRoute route = decider.choose(model.name(), prefix(), this.snapshot)
			.orElseThrow(() -> new IllegalStateException("No route for " + model.name()));
		List<EngineServer> stages = new ArrayList<>();
		List<InFlight> handles = new ArrayList<>();
		for (Engine engine : route.stages()) {
			stages.add(this.servers.get(engine.name()));
			handles.add(decider.loads().acquire(engine.name()));
		}
		arrive(new TokenStream(decider, model, stages, handles, tokens));
	}

	private long prefix() {
		double unit = this.random.nextDouble();
		return 1 + (long) (PREFIXES * unit * unit * unit);
	}

	private void arrive(TokenStream stream) {
		EngineServer server = stream.server();
		server.arrive(stream);
		startStep(server);
	}

	private void startStep(EngineServer server) {
		if (server.canStartStep()) {
			this.time.after(server.startStep(), () -> endStep(server));
		}
	}

	private void endStep(EngineServer server) {
		for (TokenStream stream : server.endStep()) {
			forward(server, stream);
		}
		startStep(server);
	}

	private void forward(EngineServer from, TokenStream stream) {
		boolean delivered = stream.advance();
		if (delivered && this.counting) {
			this.deliveredTokens++;
		}
		if (stream.isFinished()) {
			finish(stream);
			return;
		}
		DataCentre sender = from.engine().dataCentre();
		DataCentre receiver = stream.server().engine().dataCentre();
		long activationBytes = (delivered) ? 0 : stream.model().activationBytesPerToken();
		LinkServer link = this.links.getOrDefault(sender, Map.of()).getOrDefault(receiver, LinkServer.LOCAL);
		this.time.at(link.transfer(activationBytes, this.time.nowNanos()), () -> arrive(stream));
	}

	private void finish(TokenStream stream) {
		stream.close();
		for (EngineServer stage : stream.stages()) {
			stage.release();
			startStep(stage);
		}
		int tokens = MIN_STREAM_TOKENS + this.random.nextInt(MAX_STREAM_TOKENS - MIN_STREAM_TOKENS + 1);
		start(stream.decider(), stream.model(), tokens);
	}

}
