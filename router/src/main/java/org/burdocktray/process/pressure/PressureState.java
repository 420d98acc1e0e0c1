package org.burdocktray.process.pressure;

/**
 * How far the resources of a VM are used up.
 */
public enum PressureState {

	/** The VM serves all requests itself. */
	NORMAL,

	/** The VM hands a part of its new requests to VMs of at least its size. */
	PRESSED,

	/** The VM also rejects what it cannot bear and no other VM takes. */
	SATURATED

}
