package org.burdocktray.version.rules;

/**
 * An organisation that holds keys. Thread safety: immutable.
 *
 * @param name the name that upstreams are told
 * @param priority the rank, 0 first; goes before a route's
 */
public record OrganisationRule(String name, int priority) {

}
