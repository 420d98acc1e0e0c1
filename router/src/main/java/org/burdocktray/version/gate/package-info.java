/**
 * The gate that decides which bundle version is in force on this VM.
 */
package org.burdocktray.version.gate;
