/**
 * Measurements of decisions in virtual time, which yield the same results on each run.
 */
package org.burdocktray.bench;
