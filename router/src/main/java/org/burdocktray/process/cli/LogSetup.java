package org.burdocktray.process.cli;

import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;

import org.jboss.logmanager.Level;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.StructuredFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Configures logging. By default, all logs go to the error output as one JSON object per
 * line. Invariant: {@link #install()} runs before the first logger is created, since the
 * log manager cannot be replaced later. Thread safety: called once, by the main thread.
 */
public final class LogSetup {

	private static final int MAX_QUEUED_LINES = 2_048;

	private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

	private static final String LOGGING_PROVIDER_PROPERTY = "org.jboss.logging.provider";

	private static final String VERTX_DELEGATE_PROPERTY = "vertx.logger-delegate-factory-class-name";

	private LogSetup() {
	}

	/**
	 * Installs the log manager and the JSON format.
	 */
	public static void install() {
		setDefaultProperty(LOG_MANAGER_PROPERTY, "org.jboss.logmanager.LogManager");
		setDefaultProperty(LOGGING_PROVIDER_PROPERTY, "jboss");
		setDefaultProperty(VERTX_DELEGATE_PROPERTY, "io.vertx.core.logging.JULLogDelegateFactory");
		Logger root = rootLogger();
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		ConsoleHandler console = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, createFormatter());
		console.setFilter(new LogMessageLimit());
		root.addHandler(console);
		root.setLevel(Level.INFO);
	}

	/**
	 * Directs all logs to the standard output. Lines of bounded length pass through a
	 * bounded queue, so that the router neither blocks nor runs out of memory when the
	 * output is not read. Lines that do not fit into the queue are dropped.
	 */
	public static void useStandardOutput() {
		Logger root = rootLogger();
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		root.addHandler(createQueue(new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, createFormatter())));
	}

	static AsyncHandler createQueue(Handler output) {
		AsyncHandler queue = new AsyncHandler(MAX_QUEUED_LINES);
		queue.setFilter(new LogMessageLimit());
		queue.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
		queue.addHandler(output);
		return queue;
	}

	/**
	 * Sets the lowest level that is logged. For libraries it is never below {@code INFO}.
	 * @param levelName one of the levels that the settings allow
	 */
	public static void setLevel(String levelName) {
		java.util.logging.Level level = Level.parse(levelName);
		boolean isBelowInfo = level.intValue() < Level.INFO.intValue();
		rootLogger().setLevel(isBelowInfo ? Level.INFO : level);
		ProductLogger.LOGGER.setLevel(level);
	}

	static JsonFormatter createFormatter() {
		JsonFormatter formatter = new JsonFormatter();
		formatter.setExceptionOutputType(StructuredFormatter.ExceptionOutputType.FORMATTED);
		formatter.setPrintDetails(false);
		return formatter;
	}

	private static Logger rootLogger() {
		return LogManager.getLogManager().getLogger("");
	}

	private static void setDefaultProperty(String property, String value) {
		if (System.getProperty(property) == null) {
			System.setProperty(property, value);
		}
	}

	/**
	 * Keeps a strong reference to the logger of this product, since the log manager may
	 * discard loggers that are not referenced. This class is loaded only after the log
	 * manager is installed.
	 */
	private static final class ProductLogger {

		private static final Logger LOGGER = Logger.getLogger("org.burdocktray");

		private ProductLogger() {
		}

	}

}
