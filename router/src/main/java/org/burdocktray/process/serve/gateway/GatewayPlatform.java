package org.burdocktray.process.serve.gateway;

import io.vavr.control.Either;
import org.burdocktray.version.rules.check.RulesDocument;

/**
 * A platform that the gateway runs on. The implementation is found by
 * {@link java.util.ServiceLoader}. Thread safety: implementations are stateless.
 */
public interface GatewayPlatform extends GatewayAdapter.Factory {

	/**
	 * Reads the settings that the platform provides for the process.
	 * @return the settings, or an error message that names the invalid field
	 */
	Either<String, GatewaySettings> readSettings();

	/**
	 * Returns the reader for files of rules, which are checked before operators write
	 * them to the platform's store.
	 * @return the reader
	 */
	RulesDocument.Reader rulesReader();

}
