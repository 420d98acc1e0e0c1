package org.burdocktray.process.bundle;

import org.burdocktray.version.signing.SignedBundle;

/**
 * Result of rolling a bundle. Thread safety: immutable.
 *
 * @param rolled the rolled bundle
 * @param pointerMoved whether the pointer is known to contain its version or a later one;
 * readers of a lagging pointer also read the versions after it
 */
public record RollResult(SignedBundle rolled, boolean pointerMoved) {

}
