package org.burdocktray.process.cli;

import java.util.concurrent.atomic.AtomicBoolean;

import sun.misc.Signal;

/**
 * Handles SIGTERM and SIGINT as an orderly stop, and SIGHUP as a reload. A shutdown hook
 * does not suffice for the stop: the process would exit with the status of the signal
 * instead of 0 while requests are in progress. Thread safety: the stop action runs at
 * most once.
 */
final class ProcessSignals {

	private static final String[] STOP_SIGNALS = { "TERM", "INT" };

	private static final String RELOAD_SIGNAL = "HUP";

	private ProcessSignals() {
	}

	static void onReload(Runnable action) {
		Signal.handle(new Signal(RELOAD_SIGNAL), (signal) -> action.run());
	}

	static void onStop(Runnable action) {
		AtomicBoolean isStopRequested = new AtomicBoolean();
		for (String name : STOP_SIGNALS) {
			Signal.handle(new Signal(name), (signal) -> {
				if (isStopRequested.compareAndSet(false, true)) {
					action.run();
				}
			});
		}
	}

}
