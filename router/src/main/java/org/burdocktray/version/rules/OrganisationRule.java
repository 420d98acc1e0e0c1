package org.burdocktray.version.rules;

/**
 * An organisation that owns API keys. Thread safety: immutable.
 *
 * @param name the name that is sent to upstreams
 * @param priority the priority, 0 is the highest; takes precedence over the priority of
 * the route
 */
public record OrganisationRule(String name, int priority) {

}
