package org.burdocktray.process.limits;

/**
 * A queued request. Thread safety: immutable.
 *
 * @param ticket the request
 * @param loanWaitUntilNanos the time until which it may wait for a loan regardless of its
 * estimated wait
 */
record WaitingTicket(AdmissionTicket ticket, long loanWaitUntilNanos) {

}
