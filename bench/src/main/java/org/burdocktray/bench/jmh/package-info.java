/**
 * Wall-clock benchmarks of single calls, which run outside CI.
 */
package org.burdocktray.bench.jmh;
