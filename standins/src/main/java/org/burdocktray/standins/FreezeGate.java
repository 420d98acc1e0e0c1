package org.burdocktray.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Holds work back while a stand-in is frozen, as in a paused process, and discards it
 * once the stand-in has stopped. When the stand-in is no longer frozen, the held work
 * runs in order. Thread safety: confined to one event loop.
 */
public final class FreezeGate {

	private final List<Runnable> heldWork = new ArrayList<>();

	private final BooleanSupplier stopped;

	private boolean frozen;

	/**
	 * Creates a gate that holds nothing back.
	 * @param stopped whether the stand-in has stopped
	 */
	public FreezeGate(BooleanSupplier stopped) {
		this.stopped = stopped;
	}

	/**
	 * Runs work now, or later if the stand-in is frozen.
	 * @param work the work
	 */
	public void submit(Runnable work) {
		if (this.stopped.getAsBoolean()) {
			return;
		}
		if (this.frozen) {
			this.heldWork.add(work);
			return;
		}
		work.run();
	}

	/**
	 * Freezes the stand-in, or runs the work that was held back.
	 * @param isFrozen whether the stand-in is frozen
	 */
	public void setFrozen(boolean isFrozen) {
		this.frozen = isFrozen;
		if (isFrozen) {
			return;
		}
		List<Runnable> releasedWork = List.copyOf(this.heldWork);
		this.heldWork.clear();
		releasedWork.forEach(Runnable::run);
	}

}
