package org.burdocktray.process.limits;

/**
 * A request in the queue. Thread safety: immutable.
 *
 * @param ticket the request
 * @param loanWaitUntilNanos until when it may wait for a loan whatever the estimate says
 */
record WaitingTicket(AdmissionTicket ticket, long loanWaitUntilNanos) {

}
