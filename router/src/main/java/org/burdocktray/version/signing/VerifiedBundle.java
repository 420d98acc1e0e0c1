package org.burdocktray.version.signing;

import org.burdocktray.version.bundle.Bundle;

/**
 * A signed bundle accepted by {@link BundleVerifier}. Thread safety: immutable.
 *
 * @param signed the signed form, to be sent to other VMs
 * @param bundle the content
 */
public record VerifiedBundle(SignedBundle signed, Bundle bundle) {

}
