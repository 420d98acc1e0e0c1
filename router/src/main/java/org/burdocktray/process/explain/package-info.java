/**
 * Tells from log lines of all VMs what became of one request, and why. Logic without I/O.
 */
package org.burdocktray.process.explain;
