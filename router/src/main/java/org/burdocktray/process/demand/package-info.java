/**
 * The demand of all VMs by service and priority, exchanged through a few collectors of
 * each data centre. What other VMs report is a hint; no promise depends on it.
 */
package org.burdocktray.process.demand;
