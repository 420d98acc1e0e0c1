package org.burdocktray.connection.http;

import org.burdocktray.model.NetworkAddress;

/**
 * An answer whose head holds the status line of another one. Thread safety: immutable.
 *
 * @param server the address of the server
 * @param localPort the port of this VM on the connection
 * @param status the status that was read, which belongs to the answer that broke off
 * @param heldStatusLine the beginning of the status line of the other answer
 */
public record MergedAnswer(NetworkAddress server, int localPort, int status, String heldStatusLine) {

}
