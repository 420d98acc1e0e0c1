/**
 * Connections of clients that the fleet does not control: what they send is counted
 * before it is held, and read only as far as it can be answered.
 */
package org.burdocktray.connection.caller;
