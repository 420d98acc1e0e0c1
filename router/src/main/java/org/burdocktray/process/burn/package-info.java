/**
 * Burn rates of the error budgets of organisations: counters from saved or live scrapes,
 * burn rates over several windows, and reports as text, HTML and JSON. Performs no I/O
 * and reads no clock.
 */
package org.burdocktray.process.burn;
