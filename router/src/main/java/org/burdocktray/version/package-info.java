/**
 * Components with the lifetime of one version of the configuration bundle: its content,
 * its signatures, the gate that decides which version is in force, and the routing data
 * computed from it.
 */
package org.burdocktray.version;
