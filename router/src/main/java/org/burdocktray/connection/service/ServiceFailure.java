package org.burdocktray.connection.service;

import org.burdocktray.model.Verdict;

/**
 * The failure of a call to a plain service. Thread safety: immutable.
 *
 * @param verdict whether the call may have run
 * @param leaving whether the upstream reported that it accepts no new requests
 * @param detail a description of the failure
 */
public record ServiceFailure(Verdict verdict, boolean leaving, String detail) {

}
