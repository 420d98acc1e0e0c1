package org.burdocktray.request.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;

import org.burdocktray.connection.engine.EngineEvent;
import org.burdocktray.connection.engine.StreamOrder;
import org.burdocktray.standins.model.Tokens;

/**
 * One attempt at its head engine, and the connection over which its events come.
 * Invariant: events keep their order, but for those that come a second time. Thread
 * safety: none.
 */
final class FakeHeadAttempt {

	private static final long CONNECTION_MILLIS = 2;

	private static final int MOST_LATE_MILLIS = 500;

	private static final int TOO_MANY_REQUESTS = 429;

	private final VirtualTime time;

	private final StreamOrder order;

	private final List<FakeStage> stages;

	private final FakeStage head;

	private final int incarnation;

	private final boolean doublesLines;

	private final Random random;

	private final Consumer<EngineEvent> events;

	private final List<String> promptTokens;

	private final List<String> generated;

	private boolean ended;

	FakeHeadAttempt(VirtualTime time, StreamOrder order, List<FakeStage> stages, boolean doublesLines, Random random,
			Consumer<EngineEvent> events) {
		this.time = time;
		this.order = order;
		this.stages = stages;
		this.head = stages.get(0);
		this.incarnation = this.head.incarnation();
		this.doublesLines = doublesLines;
		this.random = random;
		this.events = events;
		this.promptTokens = Tokens.split(order.prompt());
		this.generated = new ArrayList<>(order.emittedTokens());
	}

	void start() {
		if (this.head.isDead()) {
			breakConnection(false);
			return;
		}
		this.time.afterMillis(CONNECTION_MILLIS, () -> this.head.whenThawed(this::enter));
	}

	void breakConnection(boolean sent) {
		if (!this.ended) {
			this.ended = true;
			send(new EngineEvent.HeadFailed(this.order.attempt(), sent, "connection reset"));
		}
	}

	/** The router closes the connection. */
	void close() {
		this.time.afterMillis(CONNECTION_MILLIS, () -> this.head.whenThawed(this::cancel));
	}

	private void cancel() {
		if (!this.ended) {
			this.ended = true;
			dropState();
		}
	}

	private void enter() {
		if (this.ended) {
			return;
		}
		if (this.incarnation != this.head.incarnation()) {
			breakConnection(true);
			return;
		}
		if (this.head.takeRefusal() || !this.head.enters(this.order.attempt())) {
			this.ended = true;
			send(new EngineEvent.Refused(this.order.attempt(), TOO_MANY_REQUESTS, OptionalLong.of(5000)));
			return;
		}
		next();
	}

	private void next() {
		boolean stops = Tokens.stops(this.generated);
		if (stops || this.generated.size() >= this.order.maxTokens()) {
			this.ended = true;
			dropState();
			send(new EngineEvent.Done(this.order.attempt(), stops ? "stop" : "length", this.promptTokens.size()));
			return;
		}
		List<String> all = new ArrayList<>(this.promptTokens);
		all.addAll(this.generated);
		int fromPosition = Math.min(this.head.nextPosition(), all.size() - 1);
		List<Long> activations = all.subList(fromPosition, all.size()).stream().map(Tokens::embed).toList();
		this.head.take(new FakeStage.Step(this.order.attempt(), this.stages, 0, fromPosition, activations, this::took));
	}

	private void took(FakeStage.Reply reply) {
		if (this.ended) {
			return;
		}
		if (this.incarnation != this.head.incarnation()) {
			breakConnection(true);
			return;
		}
		if (reply.token().isEmpty()) {
			this.ended = true;
			send(new EngineEvent.StageFailed(this.order.attempt(), Math.max(0, reply.failedStage()), reply.crashed(),
					"failed"));
			return;
		}
		EngineEvent token = new EngineEvent.Token(this.order.attempt(), this.generated.size(), reply.token());
		send(token);
		this.generated.add(reply.token());
		next();
	}

	private void dropState() {
		this.head.end(this.order.attempt());
		for (FakeStage stage : this.stages.subList(1, this.stages.size())) {
			this.time.afterMillis(CONNECTION_MILLIS, () -> stage.whenThawed(() -> stage.end(this.order.attempt())));
		}
	}

	private void send(EngineEvent event) {
		this.time.afterMillis(CONNECTION_MILLIS, () -> this.events.accept(event));
		if (this.doublesLines) {
			this.time.afterMillis(CONNECTION_MILLIS + this.random.nextInt(MOST_LATE_MILLIS),
					() -> this.events.accept(event));
		}
	}

}
