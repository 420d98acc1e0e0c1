/**
 * Explains the outcome of a request from the log lines of all VMs. Performs no I/O.
 */
package org.burdocktray.process.explain;
