package org.burdocktray.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Holds all work while the engine is frozen, as a paused process does, and drops it once
 * the engine has stopped. Invariant: held work goes on in its order once the gate opens.
 * Thread safety: none, owned by one event loop.
 */
final class FreezeGate {

	private final List<Runnable> heldWork = new ArrayList<>();

	private final BooleanSupplier stopped;

	private boolean frozen;

	FreezeGate(BooleanSupplier stopped) {
		this.stopped = stopped;
	}

	void submit(Runnable work) {
		if (this.stopped.getAsBoolean()) {
			return;
		}
		if (this.frozen) {
			this.heldWork.add(work);
			return;
		}
		work.run();
	}

	void setFrozen(boolean nowFrozen) {
		this.frozen = nowFrozen;
		if (nowFrozen) {
			return;
		}
		List<Runnable> released = List.copyOf(this.heldWork);
		this.heldWork.clear();
		released.forEach(Runnable::run);
	}

}
