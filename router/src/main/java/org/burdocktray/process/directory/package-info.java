/**
 * The replicas that the platform lists, and what is known of their health and load.
 */
package org.burdocktray.process.directory;
