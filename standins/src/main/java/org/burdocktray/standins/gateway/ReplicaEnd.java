package org.burdocktray.standins.gateway;

/**
 * How a replica ends. Thread safety: immutable.
 */
public enum ReplicaEnd {

	/** Its connections are reset and its port is closed. */
	RESET,

	/** Its connections are closed and its port is closed. */
	EXIT,

	/** It sends nothing any more, and its connections stay open. */
	SILENCE

}
