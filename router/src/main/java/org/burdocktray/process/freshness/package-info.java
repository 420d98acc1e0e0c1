/**
 * Bounds on the age of this VM's copy of the platform's store.
 */
package org.burdocktray.process.freshness;
