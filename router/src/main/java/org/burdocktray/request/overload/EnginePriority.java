package org.burdocktray.request.overload;

/**
 * The priority of the requests of one class at engines, which take 0 first and 9 last. An
 * interrupted stream goes before new requests of its class, and after those of more
 * urgent classes. Classes beyond the fifth have the priority of the fifth. Thread safety:
 * immutable.
 *
 * @param rank the number of more urgent classes of the service
 */
public record EnginePriority(int rank) {

	private static final int MAX_RANK = 4;

	public EnginePriority {
		rank = Math.max(0, Math.min(MAX_RANK, rank));
	}

	/**
	 * Returns the number that is sent to an engine.
	 * @param isInterrupted whether the request continues a stream that has begun
	 * @return 0 to 9
	 */
	public int value(boolean isInterrupted) {
		return 2 * this.rank + (isInterrupted ? 0 : 1);
	}

}
