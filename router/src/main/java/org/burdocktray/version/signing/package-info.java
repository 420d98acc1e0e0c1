/**
 * Signing, storage format and verification of bundles.
 */
package org.burdocktray.version.signing;
