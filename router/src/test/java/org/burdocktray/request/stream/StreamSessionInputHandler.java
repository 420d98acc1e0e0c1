package org.burdocktray.request.stream;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.burdocktray.connection.engine.EngineEvent;
import org.burdocktray.golden.GoldenSession;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.version.bundle.Engine;

/**
 * Passes the input lines of a golden session to a {@link StreamSession}. The model has
 * two layers; {@code head-1} and {@code head-2} hold the first, {@code tail-1},
 * {@code tail-2} and {@code tail-3} the second. Thread safety: none.
 */
public final class StreamSessionInputHandler implements GoldenSession.InputHandler {

	private static final Pattern INPUT = Pattern.compile("at (\\d+) ms: (.+)");

	private static final List<Engine> ENGINES = List.of(engine("head-1", 0), engine("head-2", 0), engine("tail-1", 1),
			engine("tail-2", 1), engine("tail-3", 1));

	private boolean retriesForbidden;

	private final StreamSession session = new StreamSession(
			new StreamRequest("s", "panel", "1", 0, "prompt", 8, 0, new DataCentre("ghent"),
					TimeUnit.SECONDS.toNanos(30)),
			this::plan, (newUpstreams, afterProgress) -> this.retriesForbidden ? Optional.of(RefusalReason.QUARANTINED)
					: Optional.empty(),
			new StreamTimeouts(TimeUnit.SECONDS.toNanos(1), 3, 5));

	@Override
	public List<String> handle(String line) {
		Matcher input = INPUT.matcher(line);
		if (!input.matches()) {
			throw new IllegalArgumentException("line does not match 'at <millis> ms: <event>': " + line);
		}
		long nowNanos = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(input.group(1)));
		return process(input.group(2).split(" "), nowNanos).stream().map(StreamSessionInputHandler::render).toList();
	}

	private List<StreamAction> process(String[] words, long nowNanos) {
		switch (words[0]) {
			case "start":
				return this.session.start(nowNanos);
			case "tick":
				return this.session.onTick(nowNanos);
			case "caller-gone":
				return this.session.onCallerDisconnected();
			case "forbid-retries":
				this.retriesForbidden = true;
				return List.of();
			case "probed":
				return this.session.onProbeResult(number(words[1]), unresponsiveUpstreams(words), nowNanos);
			default:
				return this.session.onEvent(event(words), nowNanos);
		}
	}

	private static EngineEvent event(String[] words) {
		int attempt = number(words[1]);
		switch (words[0]) {
			case "token":
				return new EngineEvent.Token(attempt, number(words[2]), words[3]);
			case "done":
				return new EngineEvent.Done(attempt, words[2], 2);
			case "stage-failed":
				return new EngineEvent.StageFailed(attempt, number(words[2]), true, "connection reset");
			case "head-failed":
				return new EngineEvent.HeadFailed(attempt, words[2].equals("sent"), "connection reset");
			case "refused":
				return new EngineEvent.Refused(attempt, number(words[2]), OptionalLong.of(5000));
			default:
				throw new IllegalArgumentException("unknown event: " + words[0]);
		}
	}

	private static Set<String> unresponsiveUpstreams(String[] words) {
		return new HashSet<>(List.of(words).subList(2, words.length));
	}

	private static int number(String word) {
		return Integer.parseInt(word);
	}

	private Optional<PipelineRoute> plan(RouteQuery query) {
		Optional<Engine> head = choose(query, 0);
		Optional<Engine> tail = choose(query, 1);
		if (head.isEmpty() || tail.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new PipelineRoute("panel", List.of(head.get(), tail.get())));
	}

	private static Optional<Engine> choose(RouteQuery query, int layer) {
		Optional<Engine> kept = query.keptStages().stream().filter((engine) -> engine.fromLayer() == layer).findFirst();
		return kept.or(() -> ENGINES.stream()
			.filter((engine) -> engine.fromLayer() == layer)
			.filter((engine) -> !query.excludedUpstreams().contains(engine.name()))
			.findFirst());
	}

	private static String render(StreamAction action) {
		if (action instanceof StreamAction.StartAttempt start) {
			String stages = start.request().stages().stream().map(Engine::name).collect(Collectors.joining(","));
			return "start attempt " + start.request().attempt() + " on " + stages + " after "
					+ start.request().emittedTokens();
		}
		if (action instanceof StreamAction.ResumeAttempt resume) {
			return "resume attempt " + resume.attempt() + " on "
					+ resume.stages().stream().map(Engine::name).collect(Collectors.joining(","));
		}
		if (action instanceof StreamAction.CancelAttempt cancel) {
			return "cancel attempt " + cancel.attempt();
		}
		if (action instanceof StreamAction.ProbeStages probe) {
			return "probe " + probe.stages().stream().map(Engine::name).sorted().collect(Collectors.joining(","));
		}
		if (action instanceof StreamAction.ReportUpstreamFailure failure) {
			return "report failure of " + failure.upstreamName() + (failure.crashed() ? " as a crash" : "");
		}
		if (action instanceof StreamAction.ReportUpstreamLeaving leaving) {
			return "report that " + leaving.upstreamName() + " is leaving";
		}
		if (action instanceof StreamAction.Deliver deliver) {
			return "deliver " + deliver.position() + " " + deliver.text();
		}
		if (action instanceof StreamAction.Complete complete) {
			return "complete " + complete.finishReason() + " with " + complete.completionTokens() + " tokens";
		}
		StreamAction.Fail fail = (StreamAction.Fail) action;
		return "fail " + fail.refusal().reason().problemType() + " ran=" + fail.refusal().verdict().wireName()
				+ " delivered=" + fail.deliveredTokens() + " retryAfterMillis="
				+ fail.refusal().retryAfterMillis().orElse(-1);
	}

	private static Engine engine(String name, int layer) {
		return new Engine(name, new DataCentre("ghent"), new NetworkAddress("127.0.0.1", 9000), "panel", layer,
				layer + 1, "kind", 100, 8, List.of(), true);
	}

}
