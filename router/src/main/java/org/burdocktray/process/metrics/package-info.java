/**
 * Prometheus metrics of the router process.
 */
package org.burdocktray.process.metrics;
