package org.burdocktray.process.cli;

import java.util.concurrent.atomic.AtomicBoolean;

import sun.misc.Signal;

/**
 * Turns SIGTERM and SIGINT into an orderly stop, and SIGHUP into a reload. A shutdown
 * hook will not do: the process would exit with the signal's status instead of 0, while
 * requests are in progress. Thread safety: the action runs at most once.
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
		AtomicBoolean asked = new AtomicBoolean();
		for (String name : STOP_SIGNALS) {
			Signal.handle(new Signal(name), (signal) -> {
				if (asked.compareAndSet(false, true)) {
					action.run();
				}
			});
		}
	}

}
