/**
 * Balancing of requests over engines and data centres by the flow that they can serve.
 */
package org.burdocktray.process.balance;
