package org.burdocktray.process.placement;

import java.util.List;
import java.util.function.Predicate;

import org.burdocktray.process.directory.Replica;

/**
 * What is known of engines that left a data centre and of those that came. Thread safety:
 * immutable.
 *
 * @param departed engines that left and were not replaced, as they were, the first to
 * leave first
 * @param isSettled tells which engines have been there long enough to get layers that all
 * others hold equally often; a new engine may be there to replace one that leaves soon
 * @param canMoveEngines whether engines may be moved to layers that nobody holds; an
 * engine that restarts is back sooner than one that moves
 */
public record PlacementContext(List<Replica> departed, Predicate<Replica> isSettled, boolean canMoveEngines) {

	public PlacementContext {
		departed = List.copyOf(departed);
	}

}
