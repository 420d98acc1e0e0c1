/**
 * How old what this VM knows of the platform's store can be.
 */
package org.burdocktray.process.freshness;
