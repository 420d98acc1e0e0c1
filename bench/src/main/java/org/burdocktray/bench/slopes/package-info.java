/**
 * Measures the resources that one VM uses, at three or more sizes each, and fits a line
 * to the results. The capacity at larger sizes is extrapolated from these lines.
 */
package org.burdocktray.bench.slopes;
