/**
 * Checks of routing rules before operators write them to the platform's store.
 */
package org.burdocktray.version.rules.check;
