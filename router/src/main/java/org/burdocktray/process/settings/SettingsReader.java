package org.burdocktray.process.settings;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Operator;
import org.burdocktray.version.bundle.OperatorReader;
import org.burdocktray.version.config.ConfigFault;
import org.burdocktray.version.config.ConfigFile;
import org.burdocktray.version.config.ConfigObject;
import org.burdocktray.version.config.NumberRange;

/**
 * Reads and validates the settings of one process. Invariant: the caller, admin, peer and
 * platform addresses differ, and at least one operator is trusted. Thread safety:
 * stateless.
 */
public final class SettingsReader {

	private static final NumberRange CALL_TIMEOUT_MILLIS = NumberRange.of(10, 60_000);

	private static final NumberRange VM_COUNT = NumberRange.of(1, 10_000);

	private static final long DEFAULT_CALL_TIMEOUT_MILLIS = 2_000;

	private static final List<String> LOG_LEVELS = List.of("TRACE", "DEBUG", "INFO", "WARN", "ERROR");

	private static final String DEFAULT_LOG_LEVEL = "INFO";

	private static final Set<String> WILDCARD_ADDRESSES = Set.of("0.0.0.0", "::");

	private SettingsReader() {
	}

	/**
	 * Reads settings from a file.
	 * @param file the file
	 * @return the settings, or all faults found in the file
	 */
	public static Either<List<ConfigFault>, Settings> read(Path file) {
		return ConfigFile.load(file).flatMap((text) -> read(file.toString(), text));
	}

	/**
	 * Reads settings from text.
	 * @param file the name of the source, used in fault messages
	 * @param text the settings as JSON with comments
	 * @return the settings, or all faults found in the text
	 */
	public static Either<List<ConfigFault>, Settings> read(String file, String text) {
		return ConfigFile.read(file, text, SettingsReader::readRoot);
	}

	private static Settings readRoot(ConfigObject root) {
		String vmName = root.segment("vmName");
		DataCentre dataCentre = new DataCentre(root.segment("dataCentre"));
		NetworkAddress callerAddress = root.address("callerAddress");
		NetworkAddress adminAddress = root.address("adminAddress");
		NetworkAddress peerAddress = root.address("peerAddress");
		NetworkAddress platformAddress = root.address("platformAddress");
		checkAddressesDistinct(root);
		checkNotWildcard(root, "peerAddress", peerAddress);
		checkNotWildcard(root, "platformAddress", platformAddress);
		long timeoutMillis = root.wholeNumber("platformCallTimeoutMillis", CALL_TIMEOUT_MILLIS,
				DEFAULT_CALL_TIMEOUT_MILLIS);
		List<NetworkAddress> seedPeers = root.addresses("seedPeers");
		int vmCount = (int) root.wholeNumber("fleetSeats", VM_COUNT, 1);
		int vmIndex = (int) root.wholeNumber("fleetSeat", NumberRange.of(0, vmCount - 1), 0);
		return new Settings(vmName, dataCentre, callerAddress, adminAddress, peerAddress, platformAddress,
				timeoutMillis, seedPeers, readOperators(root), vmIndex, vmCount,
				root.choice("logLevel", LOG_LEVELS, DEFAULT_LOG_LEVEL),
				root.has("clients") ? root.object("clients", ClientOptionsReader::read) : ClientOptions.DEFAULT);
	}

	private static List<Operator> readOperators(ConfigObject root) {
		List<Operator> operators = OperatorReader.read(root, "trustedOperators", true);
		if (root.isEmptyList("trustedOperators")) {
			root.addFault("trustedOperators", "at least one operator", "an empty list");
		}
		return operators;
	}

	private static void checkAddressesDistinct(ConfigObject root) {
		Map<String, String> fieldByAddress = new HashMap<>();
		for (String field : List.of("callerAddress", "adminAddress", "peerAddress", "platformAddress")) {
			root.peekText(field).ifPresent((address) -> {
				String other = fieldByAddress.putIfAbsent(address, field);
				if (other != null) {
					root.addFault(field, "an address that no other field has", "the address of " + other);
				}
			});
		}
	}

	private static void checkNotWildcard(ConfigObject root, String field, NetworkAddress address) {
		if (WILDCARD_ADDRESSES.contains(address.ip())) {
			root.addFault(field, "an address that other hosts can connect to", "the wildcard address " + address);
		}
	}

}
