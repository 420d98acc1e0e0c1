/**
 * Simulates admission control, fair shares and retry budgets in virtual time and measures
 * goodput, waiting time and retry amplification.
 */
package org.burdocktray.bench.admission;
