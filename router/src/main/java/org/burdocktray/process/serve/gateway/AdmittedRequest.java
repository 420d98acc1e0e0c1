package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import org.burdocktray.version.rules.OrganisationRule;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.ServiceRule;

/**
 * A request that the rules in force allow. Thread safety: immutable.
 *
 * @param rulesVersion the version by which it was admitted
 * @param head what its header says
 * @param route its route
 * @param service the service that runs it
 * @param organisation the caller's organisation, empty on public routes
 * @param request what is sent
 */
record AdmittedRequest(long rulesVersion, RequestHead head, RouteRule route, ServiceRule service,
		Optional<OrganisationRule> organisation, ForwardedRequest request) {

	private static final int ORGANISATION_PRIORITY_FACTOR = 1_000;

	/**
	 * Ranks the request: by its organisation first, then by its route.
	 * @return the rank, the lowest first
	 */
	int priority() {
		return this.organisation.map(OrganisationRule::priority).orElse(0) * ORGANISATION_PRIORITY_FACTOR
				+ this.route.priority();
	}

}
