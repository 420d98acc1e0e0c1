package org.burdocktray.standins.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The kinds of calls that the platform stand-in counts.
 */
public enum CallKind {

	/** A read of one object. */
	@JsonProperty("read")
	READ,
	/** A read of all objects below a prefix. */
	@JsonProperty("list")
	LIST,
	/** A create. */
	@JsonProperty("create")
	CREATE,
	/** A conditional update. */
	@JsonProperty("update")
	UPDATE,
	/** A watch. */
	@JsonProperty("watch")
	WATCH,
	/** A read of the list of VMs. */
	@JsonProperty("vms")
	VMS,
	/** A call of any kind that was rejected or dropped because of a fault. */
	@JsonProperty("faulted")
	FAULTED;

	boolean isWrite() {
		return this == CREATE || this == UPDATE;
	}

}
