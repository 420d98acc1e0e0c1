package org.burdocktray.process.settings;

import org.burdocktray.connection.caller.ClientMemory;
import org.burdocktray.version.config.ConfigObject;
import org.burdocktray.version.config.NumberRange;

/**
 * Reads and validates what clients may take of a process. Thread safety: stateless.
 */
final class ClientOptionsReader {

	/** Near 0 no ordinary request would be served. */
	private static final NumberRange SHARE = NumberRange.of(0.01, 0.9);

	/** Clients may be out of reach for seconds while a link is disturbed. */
	private static final NumberRange WRITE_TIMEOUT_MILLIS = NumberRange.of(1_000, 3_600_000);

	private ClientOptionsReader() {
	}

	static ClientOptions read(ConfigObject object) {
		ClientOptions defaults = ClientOptions.DEFAULT;
		ClientMemory.Shares memory = defaults.memory();
		return new ClientOptions(object.number("maxConnectionShare", SHARE, defaults.maxConnectionShare()),
				object.number("maxVmConnectionShare", SHARE, defaults.maxVmConnectionShare()),
				new ClientMemory.Shares(object.number("headMemoryShare", SHARE, memory.heads()),
						object.number("unparsedMemoryShare", SHARE, memory.unparsed()),
						object.number("unreadMemoryShare", SHARE, memory.unread()),
						object.number("connectionMemoryShare", SHARE, memory.connections())),
				object.wholeNumber("writeTimeoutMillis", WRITE_TIMEOUT_MILLIS, defaults.writeTimeoutMillis()));
	}

}
