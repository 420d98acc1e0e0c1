package org.burdocktray.connection.http;

import java.util.Optional;

/**
 * An answer as a client has read it to its end. Thread safety: immutable.
 *
 * @param status its status
 * @param id the id that it names, empty unless it names exactly one
 * @param signature its signature, empty unless it has exactly one
 * @param body its body
 */
public record ReadAnswer(int status, Optional<String> id, Optional<String> signature, String body) {

}
