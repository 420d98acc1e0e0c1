package org.burdocktray.bench.route;

import java.util.ArrayList;
import java.util.List;

import org.burdocktray.process.load.InFlight;
import org.burdocktray.version.bundle.Model;

/**
 * A stream whose tokens go one after another through the stages of its route. Thread
 * safety: none.
 */
final class TokenStream {

	private final EntryVm entryVm;

	private final Model model;

	private final List<EngineServer> stages;

	private final List<InFlight> inFlightHandles;

	private final boolean[] resident;

	private int stageIndex;

	private int remainingTokens;

	TokenStream(EntryVm decider, Model model, List<EngineServer> stages, List<InFlight> handles, int tokens) {
		this.entryVm = decider;
		this.model = model;
		this.stages = stages;
		this.inFlightHandles = new ArrayList<>(handles);
		this.resident = new boolean[stages.size()];
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
		return this.resident[this.stageIndex];
	}

	void markResident() {
		this.resident[this.stageIndex] = true;
	}

	/**
	 * Moves the token on to the next stage, or the next token to the first stage.
	 * @return whether a token left the last stage
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
