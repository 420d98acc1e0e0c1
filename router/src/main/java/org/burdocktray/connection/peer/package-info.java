/**
 * Connections between entry VMs, with protobuf messages in length-prefixed frames over
 * TCP.
 */
package org.burdocktray.connection.peer;
