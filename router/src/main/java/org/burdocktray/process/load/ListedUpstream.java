package org.burdocktray.process.load;

/**
 * An upstream in the platform's list of VMs. Thread safety: immutable.
 *
 * @param name the name of the upstream
 * @param leaving whether the list shows it as leaving
 */
public record ListedUpstream(String name, boolean leaving) {

}
