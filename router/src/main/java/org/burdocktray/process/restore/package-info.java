/**
 * What follows when the platform's store returns from a copy that is some seconds old.
 */
package org.burdocktray.process.restore;
