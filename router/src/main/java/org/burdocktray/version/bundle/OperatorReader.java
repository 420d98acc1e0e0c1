package org.burdocktray.version.bundle;

import java.util.List;
import java.util.Optional;

import org.burdocktray.version.config.ConfigEntry;
import org.burdocktray.version.config.ConfigObject;

/**
 * Reads lists of operators. Invariant: names and keys are unique, because a person with
 * two names could approve their own proposal. Thread safety: stateless.
 */
public final class OperatorReader {

	private static final String KEY_DESCRIPTION = "an Ed25519 public key, X.509 encoded in base 64";

	private OperatorReader() {
	}

	/**
	 * Reads a list of operators.
	 * @param parent the object that contains the list
	 * @param field the name of the list
	 * @param required whether a missing list is a fault
	 * @return the operators whose entries have no fault
	 */
	public static List<Operator> read(ConfigObject parent, String field, boolean required) {
		List<ConfigEntry<Operator>> entries = parent.entries(field, required, OperatorReader::readOperator);
		UniqueFields.check(entries, "name");
		UniqueFields.check(entries, "publicKey");
		entries.forEach((entry) -> entry.value().ifPresent((operator) -> checkKey(entry.source(), operator)));
		return entries.stream().map(ConfigEntry::value).flatMap(Optional::stream).toList();
	}

	private static Operator readOperator(ConfigObject object) {
		return new Operator(object.name("name"), object.text("publicKey"));
	}

	private static void checkKey(ConfigObject source, Operator operator) {
		if (OperatorKeys.parsePublicKey(operator.publicKey()).isEmpty()) {
			source.addFault("publicKey", KEY_DESCRIPTION, "a text that is not such a key");
		}
	}

}
