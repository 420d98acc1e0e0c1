package org.burdocktray.connection.platform;

/**
 * When the state that an answer shows was confirmed by the store. Thread safety:
 * immutable.
 *
 * @param lagMillis how long before the call it was confirmed; negative if later
 * @param passedOn whether the answer comes from another VM, not from the store itself
 */
public record Confirmation(long lagMillis, boolean passedOn) {

}
