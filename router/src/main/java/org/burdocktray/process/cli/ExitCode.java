package org.burdocktray.process.cli;

/**
 * The exit code of a command. Thread safety: immutable.
 */
public enum ExitCode {

	/** The command succeeded. */
	OK(0),

	/** A check found a fault, or the operation was refused. */
	REFUSED(1),

	/** An alert condition in the burn report is burning. */
	ALERT_BURNS(1),

	/** The arguments or the configuration are invalid. */
	USAGE(2),

	/** The platform cannot be reached. */
	PLATFORM_UNAVAILABLE(3),

	/** The burn report got no usable scrape. */
	NOTHING_REACHABLE(3),

	/** The change of another operator was stored first. */
	LOST_RACE(4);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the status, 0 for success
	 */
	public int value() {
		return this.value;
	}

}
