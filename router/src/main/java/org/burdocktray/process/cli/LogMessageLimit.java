package org.burdocktray.process.cli;

import java.util.logging.Filter;
import java.util.logging.LogRecord;

import org.jboss.logmanager.ExtLogRecord;

/**
 * Shortens log messages. They hold texts from outside, such as ids of requests and faults
 * of entries, and wait in memory until they are written. Invariant: lets every record
 * pass. Thread safety: stateless.
 */
final class LogMessageLimit implements Filter {

	private static final int MAX_CHARACTERS = 8_192;

	@Override
	public boolean isLoggable(LogRecord logged) {
		if (logged instanceof ExtLogRecord formatted) {
			shorten(formatted);
		}
		return true;
	}

	private static void shorten(ExtLogRecord logged) {
		String message = logged.getFormattedMessage();
		if (message == null || message.length() <= MAX_CHARACTERS) {
			return;
		}
		logged.setMessage(message.substring(0, MAX_CHARACTERS) + "... (" + message.length() + " characters)",
				ExtLogRecord.FormatStyle.NO_FORMAT);
		logged.setParameters(null);
	}

}
