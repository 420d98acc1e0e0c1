/**
 * The command line: one class for each sub-command, and the configuration of logging.
 */
package org.burdocktray.process.cli;
