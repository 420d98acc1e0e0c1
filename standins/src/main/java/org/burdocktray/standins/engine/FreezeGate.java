package org.burdocktray.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Holds work back while the engine is frozen, as in a paused process, and discards it
 * once the engine has stopped. When the engine is no longer frozen, the held work runs in
 * order. Thread safety: confined to one event loop.
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

	void setFrozen(boolean isFrozen) {
		this.frozen = isFrozen;
		if (isFrozen) {
			return;
		}
		List<Runnable> releasedWork = List.copyOf(this.heldWork);
		this.heldWork.clear();
		releasedWork.forEach(Runnable::run);
	}

}
