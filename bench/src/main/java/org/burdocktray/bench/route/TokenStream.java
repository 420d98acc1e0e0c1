package org.burdocktray.bench.route;

import java.util.ArrayList;
import java.util.List;

import org.burdocktray.process.load.InFlight;
import org.burdocktray.version.bundle.Model;

/**
 * A stream whose tokens pass through the stages of its route one at a time. Thread
 * safety: none.
 */
final class TokenStream {

	private final EntryVm entryVm;

	private final Model model;

	private final List<EngineServer> stages;

	private final List<InFlight> inFlightHandles;

	private final boolean[] residentAtStage;

	private int stageIndex;

	private int remainingTokens;

	TokenStream(EntryVm entryVm, Model model, List<EngineServer> stages, List<InFlight> inFlightHandles, int tokens) {
		this.entryVm = entryVm;
		this.model = model;
		this.stages = stages;
		this.inFlightHandles = new ArrayList<>(inFlightHandles);
		this.residentAtStage = new boolean[stages.size()];
		this.remainingTokens = tokens;
	}

	EntryVm entryVm() {
		return this.entryVm;
	}

	Model model() {
		return this.model;
	}

	List<EngineServer> stages() {
		return this.stages;
	}

	EngineServer currentStage() {
		return this.stages.get(this.stageIndex);
	}

	boolean isResident() {
		return this.residentAtStage[this.stageIndex];
	}

	void markResident() {
		this.residentAtStage[this.stageIndex] = true;
	}

	/**
	 * Advances the current token to the next stage, or starts the next token at the first
	 * stage if the current token leaves the last stage.
	 * @return whether the current token has left the last stage
	 */
	boolean advance() {
		this.stageIndex++;
		if (this.stageIndex < this.stages.size()) {
			return false;
		}
		this.stageIndex = 0;
		this.remainingTokens--;
		return true;
	}

	boolean isFinished() {
		return this.remainingTokens == 0;
	}

	void close() {
		this.inFlightHandles.forEach(InFlight::close);
	}

}
