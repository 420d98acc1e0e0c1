package org.burdocktray.process.serve.gateway;

import io.vavr.control.Either;

/**
 * A platform that the gateway runs on. Found as a service of the class path. Thread
 * safety: implementations are stateless.
 */
public interface GatewayPlatform extends GatewayAdapter.Factory {

	/**
	 * Reads the settings that the platform gives the process.
	 * @return the settings, or what is wrong with them, naming the field
	 */
	Either<String, GatewaySettings> readSettings();

}
