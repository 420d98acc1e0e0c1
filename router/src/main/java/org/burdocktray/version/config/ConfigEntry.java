package org.burdocktray.version.config;

import java.util.Optional;

/**
 * An object in a list of the file and the value read from it. Thread safety: confined to
 * the thread that reads the file.
 *
 * @param <T> the type of the value
 * @param source the object in the file
 * @param value the value, empty if the object has a fault
 */
public record ConfigEntry<T>(ConfigObject source, Optional<T> value) {

}
