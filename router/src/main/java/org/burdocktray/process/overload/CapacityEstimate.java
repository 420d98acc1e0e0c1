package org.burdocktray.process.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;

/**
 * Estimates what the engines of a service can serve at one moment. The rate is an upper
 * bound of what paths over all layers can take; the time of the first event is that of
 * the best complete path. Engines whose accelerator kind is unknown, that hold no layers
 * or that have no memory for a request count for nothing. Thread safety: immutable.
 */
public final class CapacityEstimate {

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

	/**
	 * The prompt tokens that an engine is assumed to read at once; the profile's
	 * promptTokensPerPass is not used here.
	 */
	private static final double TOKENS_PER_CHUNK = 512;

	/** The chunks that an engine is assumed to read in one pass at most. */
	private static final double MAX_CHUNKS_PER_PASS = 2;

	private final EngineProfile profile;

	private final double maxGapMillis;

	private final List<Engine> engines;

	private CapacityEstimate(EngineProfile profile, double maxGapMillis, List<Engine> engines) {
		this.profile = profile;
		this.maxGapMillis = maxGapMillis;
		this.engines = List.copyOf(engines);
	}

	/**
	 * Creates an estimate.
	 * @param replicas the engines that can be used
	 * @param loads their load as this VM knows it
	 * @param profile their profile
	 * @param maxGapMillis the longest pause of a stream on time, 0 for any
	 * @param nowNanos the current time of the monotonic clock
	 * @return the estimate
	 */
	public static CapacityEstimate of(List<Replica> replicas, ReplicaLoads loads, EngineProfile profile,
			long maxGapMillis, long nowNanos) {
		List<Engine> engines = new ArrayList<>(replicas.size());
		for (Replica replica : replicas) {
			Optional<AcceleratorKind> kind = replica.acceleratorKind().flatMap(profile::kind);
			if (kind.isEmpty() || replica.layers().isEmpty()) {
				continue;
			}
			LayerRange held = replica.layers().get();
			double capacity = profile.kvTokenLayers(kind.get(), held.size());
			double slowdown = Math.max(1, loads.slowdownFactor(replica));
			engines.add(new Engine(held, capacity, capacity - loads.kvUsed(replica), slowdown * kind.get().stepFactor(),
					slowdown * kind.get().prefillFactor(), loads.sequences(replica),
					loads.pendingPrompts(replica, nowNanos)));
		}
		return new CapacityEstimate(profile, maxGapMillis, engines);
	}

	/**
	 * Returns the rate at which requests of one kind can begin and end.
	 * @param promptTokens the mean length of their prompts
	 * @param outputTokens the mean length of their responses
	 * @return requests per second, 0 if the engines do not hold all layers
	 */
	public double requestsPerSecond(double promptTokens, double outputTokens) {
		double[] rates = new double[this.profile.layers()];
		for (Engine engine : this.engines) {
			double rate = engineRate(engine, promptTokens, outputTokens);
			for (int layer = engine.held().from(); layer < Math.min(rates.length, engine.held().to()); layer++) {
				rates[layer] += rate;
			}
		}
		double lowest = Double.MAX_VALUE;
		for (double rate : rates) {
			lowest = Math.min(lowest, rate);
		}
		return lowest;
	}

	/**
	 * Returns the length of the longest request for which each layer has an engine.
	 * @return tokens, 0 if the engines do not hold all layers
	 */
	public double maxRequestTokens() {
		double[] tokens = new double[this.profile.layers()];
		for (Engine engine : this.engines) {
			double held = engine.kvTokenLayers() / engine.held().size();
			for (int layer = engine.held().from(); layer < Math.min(tokens.length, engine.held().to()); layer++) {
				tokens[layer] = Math.max(tokens[layer], held);
			}
		}
		double lowest = Double.MAX_VALUE;
		for (double held : tokens) {
			lowest = Math.min(lowest, held);
		}
		return lowest;
	}

	// A path takes as many requests as fit into the cache and keep its passes short
	// enough.
	private double engineRate(Engine engine, double promptTokens, double outputTokens) {
		double meanTokens = Math.max(1, promptTokens + outputTokens / 2);
		double sequences = engine.kvTokenLayers() / (engine.held().size() * meanTokens);
		if (engine.held().from() == 0) {
			sequences = Math.min(sequences, this.profile.maxSequences());
		}
		double chunkMillis = chunkMillis(engine, promptTokens);
		double perSequenceMillis = this.profile.sequenceMillis()
				+ this.profile.contextMillis() * meanTokens / TOKENS_PER_CONTEXT_UNIT;
		if (this.maxGapMillis > 0 && perSequenceMillis > 0) {
			double roomMillis = (this.maxGapMillis - chunkMillis) / engine.stepFactor() - this.profile.stepMillis();
			sequences = Math.min(sequences, Math.max(1, roomMillis / perSequenceMillis));
		}
		if (sequences < 1) {
			return 0;
		}
		double chunks = chunks(promptTokens);
		double requestsPerPass = Math.min(sequences / (chunks + outputTokens), MAX_CHUNKS_PER_PASS / chunks);
		double stepMillis = engine.stepFactor() * (this.profile.stepMillis() + perSequenceMillis * sequences);
		double passMillis = stepMillis + chunkMillis * chunks * requestsPerPass;
		return MILLIS_PER_SECOND * requestsPerPass / Math.max(1e-3, passMillis);
	}

	/**
	 * Returns the expected response of the best complete path to a request sent now.
	 * @param promptTokens the length of its prompt
	 * @param outputTokens the expected length of its response
	 * @return the response, empty if no path has the memory for it
	 */
	public Optional<ExpectedResponse> expectedResponse(int promptTokens, int outputTokens) {
		int layers = this.profile.layers();
		double[] firstEventMillis = new double[layers + 1];
		double[] unqueuedMillis = new double[layers + 1];
		double[] passMillis = new double[layers + 1];
		for (int layer = layers - 1; layer >= 0; layer--) {
			firstEventMillis[layer] = Double.MAX_VALUE;
			for (Engine engine : this.engines) {
				if (!engine.held().contains(layer) || engine.held().to() > layers) {
					continue;
				}
				int next = engine.held().to();
				int stageLayers = next - layer;
				double tokenLayers = ((double) promptTokens + outputTokens) * stageLayers;
				if (engine.freeTokenLayers() < tokenLayers || firstEventMillis[next] == Double.MAX_VALUE) {
					continue;
				}
				double share = (double) stageLayers / layers;
				double stagePassMillis = share * (stepMillis(engine) + chunkMillis(engine, promptTokens));
				double passes = chunks(promptTokens)
						+ engine.pendingPrompts() * chunks(this.profile.typicalPromptTokens()) / MAX_CHUNKS_PER_PASS;
				double millis = firstEventMillis[next] + passes * stagePassMillis;
				if (millis < firstEventMillis[layer]) {
					firstEventMillis[layer] = millis;
					unqueuedMillis[layer] = unqueuedMillis[next] + chunks(promptTokens) * stagePassMillis;
					passMillis[layer] = passMillis[next] + stagePassMillis;
				}
			}
		}
		if (firstEventMillis[0] == Double.MAX_VALUE) {
			return Optional.empty();
		}
		boolean keepsGap = this.maxGapMillis <= 0 || passMillis[0] <= this.maxGapMillis;
		return Optional.of(new ExpectedResponse(firstEventMillis[0], unqueuedMillis[0], keepsGap));
	}

	private double stepMillis(Engine engine) {
		int sequences = engine.sequences() + 1;
		double context = sequences * this.profile.typicalRequestTokens() / TOKENS_PER_CONTEXT_UNIT;
		return engine.stepFactor() * (this.profile.stepMillis() + this.profile.sequenceMillis() * sequences
				+ this.profile.contextMillis() * context);
	}

	private double chunkMillis(Engine engine, double promptTokens) {
		return engine.prefillFactor() * MILLIS_PER_SECOND * Math.min(TOKENS_PER_CHUNK, promptTokens)
				/ this.profile.prefillTokensPerSecond();
	}

	private static double chunks(double promptTokens) {
		return Math.max(1, Math.ceil(promptTokens / TOKENS_PER_CHUNK));
	}

	/**
	 * The expected response to a request. Thread safety: immutable.
	 *
	 * @param firstEventMillis the time from its sending to its first event
	 * @param unqueuedMillis the part of it without the prompts that were sent before
	 * @param keepsGap whether the pauses between its events are on time
	 */
	public record ExpectedResponse(double firstEventMillis, double unqueuedMillis, boolean keepsGap) {

	}

	private record Engine(LayerRange held, double kvTokenLayers, double freeTokenLayers, double stepFactor,
			double prefillFactor, int sequences, int pendingPrompts) {

	}

}
