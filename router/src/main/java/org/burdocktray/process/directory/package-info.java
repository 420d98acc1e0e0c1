/**
 * The replicas that the platform lists, with their health and load.
 */
package org.burdocktray.process.directory;
