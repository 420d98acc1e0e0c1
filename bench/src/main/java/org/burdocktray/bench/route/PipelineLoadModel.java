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
 * A closed-loop load model of streams over engines and links, in virtual time: each
 * stream that ends is replaced immediately by a new one, which an entry VM routes. Each
 * entry VM counts its own requests and receives load reports of the engines with a delay.
 * Prefill is not modelled. Two runs with the same settings yield the same results. Thread
 * safety: none.
 */
final class PipelineLoadModel {

	private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long REPORT_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final int MIN_STREAM_TOKENS = 50;

	private static final int MAX_STREAM_TOKENS = 250;

	/**
	 * Number of prompt prefixes; a few of them are much more frequent than the others.
	 */
	private static final int PREFIX_COUNT = 200;

	/** Occupancy of the bottleneck engines when streams follow the maximum flow. */
	private static final double TARGET_OCCUPANCY = 0.8;

	private final LoadModelSettings settings;

	private final RoutingSnapshot snapshot;

	private final Map<String, EngineServer> servers = new LinkedHashMap<>();

	private final Map<DataCentre, Map<DataCentre, LinkServer>> links = new HashMap<>();

	private final List<EntryVm> entryVms = new ArrayList<>();

	private final EventScheduler scheduler = new EventScheduler();

	private final SplittableRandom random;

	private long deliveredTokens;

	private boolean isMeasuring;

	/**
	 * Creates the model.
	 * @param bundle the engines and links with their actual rates
	 * @param snapshot the routing data of the entry VMs
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
		for (int i = 0; i < settings.entryVmCount(); i++) {
			this.entryVms.add(new EntryVm(dataCentres.get(i % dataCentres.size()), settings.policyFactory().get(),
					new UpstreamLoads(this.scheduler::nowNanos), this.random.split()));
		}
	}

	/**
	 * Runs the model.
	 * @return the delivered tokens per second of virtual time
	 */
	double run() {
		int streams = 0;
		for (Model model : this.snapshot.bundle().models()) {
			int count = saturatingStreamCount(this.snapshot.routes(model.name()).orElseThrow());
			for (int i = 0; i < count; i++) {
				EntryVm entryVm = this.entryVms.get(streams++ % this.entryVms.size());
				long startNanos = this.random.nextLong(REPORT_INTERVAL_NANOS);
				this.scheduler.scheduleAt(startNanos,
						() -> startStream(entryVm, model, 1 + this.random.nextInt(MAX_STREAM_TOKENS)));
			}
		}
		this.servers.values().forEach(this::scheduleFirstReport);
		long warmUpNanos = TimeUnit.SECONDS.toNanos(this.settings.warmUpSeconds());
		this.scheduler.runUntil(warmUpNanos);
		this.isMeasuring = true;
		this.scheduler.runUntil(warmUpNanos + TimeUnit.SECONDS.toNanos(this.settings.measuredSeconds()));
		return (double) this.deliveredTokens / this.settings.measuredSeconds();
	}

	private int saturatingStreamCount(ModelRoutes routes) {
		double streams = Double.MAX_VALUE;
		List<RouteNode> pending = new ArrayList<>(routes.entries());
		while (!pending.isEmpty()) {
			RouteNode node = pending.remove(pending.size() - 1);
			for (Engine engine : node.engines().items()) {
				double share = node.flowTokensPerSecond(engine) / routes.tokensPerSecond();
				if (share > 0) {
					streams = Math.min(streams, TARGET_OCCUPANCY * engine.maxConcurrentStreams() / share);
				}
			}
			pending.addAll(node.successors());
		}
		return (int) Math.round(streams);
	}

	private void scheduleFirstReport(EngineServer server) {
		long phaseNanos = this.random.nextLong(REPORT_INTERVAL_NANOS);
		this.scheduler.scheduleAt(phaseNanos, () -> sendReport(server));
	}

	private void sendReport(EngineServer server) {
		int inFlight = server.inFlight();
		this.scheduler.scheduleAfter(REPORT_DELAY_NANOS, () -> this.entryVms
			.forEach((entryVm) -> entryVm.loads().recordReport(server.engine().name(), inFlight)));
		this.scheduler.scheduleAfter(REPORT_INTERVAL_NANOS, () -> sendReport(server));
	}

	private void startStream(EntryVm entryVm, Model model, int tokens) {
		PipelineRoute route = entryVm.chooseRoute(model.name(), randomPrefixFingerprint(), this.snapshot)
			.orElseThrow(() -> new IllegalStateException("No route for model " + model.name()));
		List<EngineServer> stages = new ArrayList<>();
		List<InFlight> handles = new ArrayList<>();
		for (Engine engine : route.stages()) {
			stages.add(this.servers.get(engine.name()));
			handles.add(entryVm.loads().acquire(engine.name()));
		}
		enqueueAtCurrentStage(new TokenStream(entryVm, model, stages, handles, tokens));
	}

	private long randomPrefixFingerprint() {
		double uniform = this.random.nextDouble();
		return 1 + (long) (PREFIX_COUNT * uniform * uniform * uniform);
	}

	private void enqueueAtCurrentStage(TokenStream stream) {
		EngineServer server = stream.currentStage();
		server.enqueue(stream);
		startStepIfPossible(server);
	}

	private void startStepIfPossible(EngineServer server) {
		if (server.canStartStep()) {
			this.scheduler.scheduleAfter(server.startStep(), () -> endStep(server));
		}
	}

	private void endStep(EngineServer server) {
		for (TokenStream stream : server.endStep()) {
			forwardToNextStage(server, stream);
		}
		startStepIfPossible(server);
	}

	private void forwardToNextStage(EngineServer from, TokenStream stream) {
		boolean delivered = stream.advance();
		if (delivered && this.isMeasuring) {
			this.deliveredTokens++;
		}
		if (stream.isFinished()) {
			replaceFinishedStream(stream);
			return;
		}
		DataCentre fromDataCentre = from.engine().dataCentre();
		DataCentre toDataCentre = stream.currentStage().engine().dataCentre();
		long activationBytes = (delivered) ? 0 : stream.model().activationBytesPerToken();
		LinkServer link = this.links.getOrDefault(fromDataCentre, Map.of())
			.getOrDefault(toDataCentre, LinkServer.LOCAL);
		this.scheduler.scheduleAt(link.transfer(activationBytes, this.scheduler.nowNanos()),
				() -> enqueueAtCurrentStage(stream));
	}

	private void replaceFinishedStream(TokenStream stream) {
		stream.close();
		for (EngineServer stage : stream.stages()) {
			stage.releaseSlot();
			startStepIfPossible(stage);
		}
		int tokens = MIN_STREAM_TOKENS + this.random.nextInt(MAX_STREAM_TOKENS - MIN_STREAM_TOKENS + 1);
		startStream(stream.entryVm(), stream.model(), tokens);
	}

}
