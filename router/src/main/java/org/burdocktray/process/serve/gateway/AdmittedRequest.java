package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import org.burdocktray.process.overload.ServicePriorities;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.request.overload.Arrival;
import org.burdocktray.version.rules.OrganisationRule;
import org.burdocktray.version.rules.RequestKind;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.ServiceRule;

/**
 * A request that the rules in force admit, with the route, service and organisation that
 * apply to it. Thread safety: immutable.
 *
 * @param rulesVersion the version of the rules that admitted the request
 * @param head the fields read from its headers
 * @param route its route
 * @param service the service that runs it
 * @param organisation the caller's organisation, empty on public routes
 * @param request the request to forward
 * @param identity what the quarantine knows it by: one fingerprint for method, path,
 * organisation and body, and those of the parts of its prompt
 * @param relayed what another VM states that has relayed the request, empty for callers
 */
record AdmittedRequest(long rulesVersion, RequestHead head, RouteRule route, ServiceRule service,
		Optional<OrganisationRule> organisation, ForwardedRequest request, RequestIdentity identity,
		Optional<RelayHeaders.RelayedRequest> relayed) {

	/**
	 * Returns the name of the organisation whose limits apply.
	 * @return the name, empty on public routes
	 */
	String organisationName() {
		return this.organisation.map(OrganisationRule::name).orElse("");
	}

	/**
	 * Returns whether this VM may start a second run of the request if it is late.
	 * @return false for calls that may not be repeated, and for requests that another VM
	 * relays
	 */
	boolean isHedgeable() {
		return this.route.isRepeatable() && this.relayed.isEmpty();
	}

	/**
	 * Returns the priority of the request. The priority of its organisation takes
	 * precedence over that of its route.
	 * @return the priority; the lowest value is served first
	 */
	int priority() {
		return priority(this.route, this.organisation);
	}

	/**
	 * Returns what decides about the admission of a request.
	 * @param head the fields read from its headers
	 * @param route its route
	 * @param service the service that runs it
	 * @param organisation the caller's organisation, empty on public routes
	 * @return the values for the shedding of load
	 */
	static Arrival arrival(RequestHead head, RouteRule route, ServiceRule service,
			Optional<OrganisationRule> organisation) {
		boolean isStream = route.kind() == RequestKind.STREAMING;
		long routeMillis = isStream ? Math.min(route.timeoutMillis(), route.callerTimeoutMillis())
				: route.timeoutMillis();
		int expectedTokens = head.expectedOutputTokens().orElse(head.maxOutputTokens().orElse(0));
		int outputTokens = Math.min(head.maxOutputTokens().orElse(expectedTokens), expectedTokens);
		return new Arrival(head.requestId(), route, service, organisation.map(OrganisationRule::name).orElse(""),
				priority(route, organisation), isStream && route.resumable() && head.lastEventId().isPresent(),
				head.promptTokens().orElse(0), outputTokens,
				Math.min(routeMillis, head.deadlineMillis().orElse(routeMillis)));
	}

	Arrival arrival() {
		return arrival(this.head, this.route, this.service, this.organisation);
	}

	/**
	 * Returns the priority of requests of a route and organisation.
	 * @param route the route
	 * @param organisation the organisation, empty on public routes
	 * @return the priority; the lowest value is served first
	 */
	static int priority(RouteRule route, Optional<OrganisationRule> organisation) {
		return ServicePriorities.priority(route, organisation);
	}

}
