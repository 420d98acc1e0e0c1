/**
 * Admission, quotas and retry budgets of one VM. The classes perform no I/O and receive
 * the current time as an argument.
 */
package org.burdocktray.process.limits;
