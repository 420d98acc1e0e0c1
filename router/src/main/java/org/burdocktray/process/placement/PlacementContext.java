package org.burdocktray.process.placement;

import java.util.List;
import java.util.function.Predicate;

import org.burdocktray.process.directory.Replica;

/**
 * The input of the placement beside the listed engines: the engines that left a data
 * centre recently, and which changes are allowed. Thread safety: immutable.
 *
 * @param departed the engines that left and were not replaced, with the layers that they
 * held, in the order of departure
 * @param isSettled whether an engine has been listed long enough to get layers when all
 * layers have the same number of holders; a newer engine may replace one that leaves soon
 * @param canMoveEngines whether engines may be moved to layers that no engine holds;
 * false while a restart is expected, since a restart takes less time than a move
 */
public record PlacementContext(List<Replica> departed, Predicate<Replica> isSettled, boolean canMoveEngines) {

	public PlacementContext {
		departed = List.copyOf(departed);
	}

}
