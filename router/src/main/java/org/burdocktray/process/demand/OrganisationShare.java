package org.burdocktray.process.demand;

/**
 * The key of an organisation's demand for one service. Thread safety: immutable.
 *
 * @param service the name of the service
 * @param organisation the name of the organisation
 */
public record OrganisationShare(String service, String organisation) {

}
