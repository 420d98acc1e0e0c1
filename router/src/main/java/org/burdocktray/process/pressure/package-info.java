/**
 * How much load this VM is under, and which of its new requests VMs of at least its size
 * take. What other VMs report is a hint; no promise depends on it.
 */
package org.burdocktray.process.pressure;
