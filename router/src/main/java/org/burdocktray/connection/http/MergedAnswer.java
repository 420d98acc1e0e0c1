package org.burdocktray.connection.http;

import org.burdocktray.model.NetworkAddress;

/**
 * An answer that holds a part of another one. Thread safety: immutable.
 *
 * @param server the address of the server
 * @param localPort the port of this VM on the connection
 * @param status the status that was read, which belongs to the answer that began first
 * @param evidence the beginning of the status line of the other answer, or where it was
 * found
 */
public record MergedAnswer(NetworkAddress server, int localPort, int status, String evidence) {

}
