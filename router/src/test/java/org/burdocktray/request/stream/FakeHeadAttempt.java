package org.burdocktray.request.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;

import org.burdocktray.connection.engine.AttemptRequest;
import org.burdocktray.connection.engine.EngineEvent;
import org.burdocktray.standins.model.Tokens;

/**
 * One attempt at its head engine and the connection that carries its events. Invariant:
 * events arrive in order, except for duplicates. Thread safety: none.
 */
final class FakeHeadAttempt {

	private static final long CONNECTION_MILLIS = 2;

	private static final int MAX_DUPLICATE_DELAY_MILLIS = 500;

	private static final int TOO_MANY_REQUESTS = 429;

	private final VirtualTime time;

	private final AttemptRequest request;

	private final List<FakeStage> stages;

	private final FakeStage head;

	private final int incarnation;

	private final boolean duplicatesEvents;

	private final Random random;

	private final Consumer<EngineEvent> events;

	private final List<String> promptTokens;

	private final List<String> generated;

	private boolean ended;

	FakeHeadAttempt(VirtualTime time, AttemptRequest request, List<FakeStage> stages, boolean duplicatesEvents,
			Random random, Consumer<EngineEvent> events) {
		this.time = time;
		this.request = request;
		this.stages = stages;
		this.head = stages.get(0);
		this.incarnation = this.head.incarnation();
		this.duplicatesEvents = duplicatesEvents;
		this.random = random;
		this.events = events;
		this.promptTokens = Tokens.split(request.prompt());
		this.generated = new ArrayList<>(request.emittedTokens());
	}

	AttemptRequest request() {
		return this.request;
	}

	void start() {
		if (this.head.isStopped()) {
			breakConnection(false);
			return;
		}
		this.time.afterMillis(CONNECTION_MILLIS, () -> this.head.whenThawed(this::onArrival));
	}

	void breakConnection(boolean sent) {
		if (!this.ended) {
			this.ended = true;
			send(new EngineEvent.HeadFailed(this.request.attempt(), sent, "connection reset"));
		}
	}

	/** Closes the connection from the router's side. */
	void close() {
		this.time.afterMillis(CONNECTION_MILLIS, () -> this.head.whenThawed(this::cancel));
	}

	private void cancel() {
		if (!this.ended) {
			this.ended = true;
			dropState();
		}
	}

	private void onArrival() {
		if (this.ended) {
			return;
		}
		if (this.incarnation != this.head.incarnation()) {
			breakConnection(true);
			return;
		}
		if (this.head.takeRefusal() || !this.head.tryStartAttempt(this.request.attempt())) {
			this.ended = true;
			send(new EngineEvent.Refused(this.request.attempt(), TOO_MANY_REQUESTS, OptionalLong.of(5000)));
			return;
		}
		runNextStep();
	}

	private void runNextStep() {
		boolean stops = Tokens.isComplete(this.generated);
		if (stops || this.generated.size() >= this.request.maxTokens()) {
			this.ended = true;
			dropState();
			send(new EngineEvent.Done(this.request.attempt(), stops ? "stop" : "length", this.promptTokens.size()));
			return;
		}
		List<String> tokens = new ArrayList<>(this.promptTokens);
		tokens.addAll(this.generated);
		int fromPosition = Math.min(this.head.nextPosition(), tokens.size() - 1);
		List<Long> activations = tokens.subList(fromPosition, tokens.size()).stream().map(Tokens::embed).toList();
		this.head.receive(
				new FakeStage.Step(this.request.attempt(), this.stages, 0, fromPosition, activations, this::onReply));
	}

	private void onReply(FakeStage.Reply reply) {
		if (this.ended) {
			return;
		}
		if (this.incarnation != this.head.incarnation()) {
			breakConnection(true);
			return;
		}
		if (reply.token().isEmpty()) {
			this.ended = true;
			send(new EngineEvent.StageFailed(this.request.attempt(), Math.max(0, reply.failedStage()), reply.crashed(),
					"failed"));
			return;
		}
		EngineEvent token = new EngineEvent.Token(this.request.attempt(), this.generated.size(), reply.token());
		send(token);
		this.generated.add(reply.token());
		runNextStep();
	}

	private void dropState() {
		this.head.end(this.request.attempt());
		for (FakeStage stage : this.stages.subList(1, this.stages.size())) {
			this.time.afterMillis(CONNECTION_MILLIS, () -> stage.whenThawed(() -> stage.end(this.request.attempt())));
		}
	}

	private void send(EngineEvent event) {
		this.time.afterMillis(CONNECTION_MILLIS, () -> this.events.accept(event));
		if (this.duplicatesEvents) {
			this.time.afterMillis(CONNECTION_MILLIS + this.random.nextInt(MAX_DUPLICATE_DELAY_MILLIS),
					() -> this.events.accept(event));
		}
	}

}
