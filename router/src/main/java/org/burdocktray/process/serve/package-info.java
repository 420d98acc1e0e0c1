/**
 * The router process: its HTTP interfaces and the wiring of all layers. Only the command
 * line depends on this package.
 */
package org.burdocktray.process.serve;
