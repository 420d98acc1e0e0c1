package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.model.Verdict;
import org.burdocktray.process.demand.DemandClass;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.burdocktray.process.freshness.RulesPollInterval;
import org.burdocktray.process.limits.BodyMemory;
import org.burdocktray.process.quarantine.Fingerprint;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.request.overload.AdmissionDecision;
import org.burdocktray.request.overload.Arrival;
import org.burdocktray.request.service.RequestDigest;
import org.burdocktray.version.rules.OrganisationRule;
import org.burdocktray.version.rules.RequestKind;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.ServiceRule;

/**
 * Handles callers' requests: finds their route and organisation by the rules in force,
 * reads their body and forwards them. Thread safety: confined to one event loop.
 */
final class GatewayRequestHandler {

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final double RETRY_AFTER_SECONDS = 0.5;

	private final GatewayContext context;

	private final RequestsInProgress requestsInProgress;

	private final RulesPollInterval rulesPollInterval;

	private final BodyMemory bodyMemory;

	private final BooleanSupplier stopping;

	private final BooleanSupplier rejecting;

	GatewayRequestHandler(GatewayContext context, RequestsInProgress requestsInProgress,
			RulesPollInterval rulesPollInterval, BodyMemory bodyMemory, BooleanSupplier stopping,
			BooleanSupplier rejecting) {
		this.context = context;
		this.requestsInProgress = requestsInProgress;
		this.rulesPollInterval = rulesPollInterval;
		this.bodyMemory = bodyMemory;
		this.stopping = stopping;
		this.rejecting = rejecting;
	}

	void handle(HttpServerRequest request) {
		handle(request, Optional.empty(), () -> {
		});
	}

	/**
	 * Handles a request that another VM has relayed.
	 * @param request the request, with the caller's headers
	 * @param relayed what the other VM states
	 * @param onEnd called once when the response has ended
	 */
	void handleRelayed(HttpServerRequest request, RelayHeaders.RelayedRequest relayed, Runnable onEnd) {
		handle(request, Optional.of(relayed), onEnd);
	}

	private void handle(HttpServerRequest request, Optional<RelayHeaders.RelayedRequest> relayed, Runnable onEnd) {
		long arrivedNanos = System.nanoTime();
		CallerResponse response = new CallerResponse(request, this.context.headers(), this.context.metrics(),
				this.stopping, relayed.isPresent());
		IncomingBody body = new IncomingBody(this.context.vertx(), request, this.bodyMemory.open());
		this.requestsInProgress.add(response, () -> {
			body.close();
			onEnd.run();
		});
		refuseOnFault(response, () -> admit(request, response, body, relayed, arrivedNanos));
	}

	/**
	 * Returns whether the rules in force are at least as new as others.
	 * @param version the version of the others
	 * @return false also if there are no rules yet
	 */
	boolean hasRules(long version) {
		return this.context.rules().current().filter((rules) -> rules.version() >= version).isPresent();
	}

	// Nothing has been sent to a replica before the exchange starts.
	private static void refuseOnFault(CallerResponse response, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			RequestEventLog.logInternalFault(ex);
			response.refuse(SERVICE_UNAVAILABLE, Verdict.NOT_RUN, "internal fault", RETRY_AFTER_SECONDS);
		}
	}

	private void admit(HttpServerRequest request, CallerResponse response, IncomingBody incoming,
			Optional<RelayHeaders.RelayedRequest> relayed, long arrivedNanos) {
		RequestHead head = this.context.headers().readRequest(request.headers());
		Optional<RoutingRules> rules = this.context.rules().current();
		if (this.rejecting.getAsBoolean()) {
			reject(head, response, SERVICE_UNAVAILABLE, "VM is stopping", CallerResponse.OTHER_VM_RETRY_AFTER_SECONDS);
			return;
		}
		if (rules.isEmpty()) {
			reject(head, response, SERVICE_UNAVAILABLE, "no rules yet");
			return;
		}
		Optional<RouteRule> route = rules.get().route(hostName(request), request.path());
		boolean isFresh = this.context.freshness().isFresh(Timestamp.now());
		if (route.isEmpty()) {
			reject(head, response, isFresh ? NOT_FOUND : SERVICE_UNAVAILABLE, "no route");
			return;
		}
		Optional<OrganisationRule> organisation = Optional.empty();
		if (rules.get().requiresKeys() && !route.get().isPublic()) {
			this.rulesPollInterval.recordKeyedRequest();
			organisation = head.key().flatMap(rules.get()::organisation);
			if (!isFresh || organisation.isEmpty()) {
				reject(head, response, isFresh ? UNAUTHORIZED : SERVICE_UNAVAILABLE,
						isFresh ? "key is not known" : "rules are too old to accept keys");
				return;
			}
		}
		Optional<ServiceRule> service = rules.get().service(pickService(route.get(), relayed));
		if (service.isEmpty()) {
			reject(head, response, SERVICE_UNAVAILABLE, "service is not known");
			return;
		}
		Optional<OrganisationRule> callerOrganisation = organisation;
		if (relayed.isEmpty()) {
			Arrival arrival = AdmittedRequest.arrival(head, route.get(), service.get(), organisation);
			recordDemand(arrival);
			if (isShed(arrival, head, response)) {
				return;
			}
		}
		incoming.setTimeLimit(timeLimitMillis(route.get(), head));
		readBody(incoming, head, response, rules.get(), (body) -> {
			RelayHeaders.RelayedRequest relay = new RelayHeaders.RelayedRequest(rules.get().version(),
					service.get().name(), 0);
			ForwardedRequest forwardedRequest = createForwardedRequest(request, head, route.get(), callerOrganisation,
					body, arrivedNanos, relay);
			AdmittedRequest admittedRequest = new AdmittedRequest(rules.get().version(), head, route.get(),
					service.get(), callerOrganisation, forwardedRequest,
					RequestIdentity.of(fingerprint(forwardedRequest), head.promptParts()), relayed);
			this.requestsInProgress
				.start(new ForwardExchange(this.context, admittedRequest, response, this.requestsInProgress));
		});
	}

	private void recordDemand(Arrival arrival) {
		this.context.demand()
			.ifPresent((meter) -> meter.recordArrival(new DemandClass(arrival.service().name(), arrival.priority()),
					arrival.organisation(), arrival.promptTokens(), arrival.outputTokens(), System.nanoTime()));
	}

	// The rest of the request is read and dropped, so its connection stays usable.
	private boolean isShed(Arrival arrival, RequestHead head, CallerResponse response) {
		Optional<AdmissionDecision> decision = this.context.overload()
			.map((control) -> control.decide(arrival, System.nanoTime()));
		if (decision.isPresent() && decision.get() instanceof AdmissionDecision.Rejected rejected) {
			reject(head, response, SERVICE_UNAVAILABLE, rejected.cause(), rejected.retryAfterSeconds().orElse(0));
			return true;
		}
		return false;
	}

	// A stream that goes on must do so at the service where it began.
	private String pickService(RouteRule route, Optional<RelayHeaders.RelayedRequest> relayed) {
		return relayed.map(RelayHeaders.RelayedRequest::service)
			.filter((name) -> route.targets().stream().anyMatch((target) -> target.service().equals(name)))
			.orElseGet(() -> route.pickService(this.context.random().nextDouble()));
	}

	private void readBody(IncomingBody incoming, RequestHead head, CallerResponse response, RoutingRules rules,
			Consumer<Buffer> onComplete) {
		incoming.read(rules.limits().maxBodyBytes(), (fault) -> {
			switch (fault) {
				case TOO_LARGE -> reject(head, response, CONTENT_TOO_LARGE, "body is larger than the limit");
				case LATE -> rejectUnread(head, response, REQUEST_TIMEOUT, "body did not come in time");
				default -> {
					this.context.metrics().recordBodyRejection();
					rejectUnread(head, response, SERVICE_UNAVAILABLE, "bodies in progress hold too many bytes");
				}
			}
		}, (body) -> {
			if (!response.isStarted()) {
				refuseOnFault(response, () -> onComplete.accept(body));
			}
		});
	}

	private void rejectUnread(RequestHead head, CallerResponse response, int status, String cause) {
		if (!response.isStarted()) {
			reject(head, response, status, cause);
		}
	}

	private static long timeLimitMillis(RouteRule route, RequestHead head) {
		return Math.min(route.timeoutMillis(), head.deadlineMillis().orElse(route.timeoutMillis()));
	}

	private ForwardedRequest createForwardedRequest(HttpServerRequest request, RequestHead head, RouteRule route,
			Optional<OrganisationRule> callerOrganisation, Buffer body, long arrivedNanos,
			RelayHeaders.RelayedRequest relay) {
		long timeoutMillis = timeLimitMillis(route, head);
		return new ForwardedRequest(head.requestId(), request.method(), request.uri(), request.headers(), body,
				callerOrganisation.map(OrganisationRule::name), route.isRepeatable(),
				route.kind() == RequestKind.STREAMING, head.lastEventId(),
				arrivedNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis), relay,
				this.context.overload()
					.flatMap((control) -> control.enginePriority(relay.service(),
							AdmittedRequest.priority(route, callerOrganisation))));
	}

	private static Fingerprint fingerprint(ForwardedRequest request) {
		return new Fingerprint(request.organisation().orElse(""),
				RequestDigest.of(request.method().name(), request.uri(), request.body().getBytes()));
	}

	private void reject(RequestHead head, CallerResponse response, int status, String cause) {
		reject(head, response, status, cause, (status == SERVICE_UNAVAILABLE) ? RETRY_AFTER_SECONDS : 0);
	}

	private void reject(RequestHead head, CallerResponse response, int status, String cause, double retryAfterSeconds) {
		response.refuse(status, Verdict.NOT_RUN, cause, retryAfterSeconds);
		RequestEventLog.logRejected(head.requestId(), status, cause);
	}

	private static String hostName(HttpServerRequest request) {
		String host = request.getHeader("Host");
		if (host == null) {
			return "";
		}
		int colon = host.indexOf(':');
		return (colon >= 0) ? host.substring(0, colon) : host;
	}

}
