package org.burdocktray.request.stream;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.burdocktray.standins.model.LayerRangeState;
import org.burdocktray.standins.model.ModelIdentity;
import org.burdocktray.standins.model.Tokens;

/**
 * An engine with one layer and the state of one stream, according to the published
 * protocol. Invariants: a position is run once per state; a step runs nothing if its
 * attempt is lower than the last one received or not higher than the last one ended.
 * Thread safety: none.
 */
final class FakeStage {

	private static final long HOP_MILLIS = 3;

	private static final long STEP_MILLIS = 4;

	private final VirtualTime time;

	private final ModelIdentity identity;

	private final int layer;

	private final Set<Step> pending = new LinkedHashSet<>();

	private final List<Runnable> deferredByFreeze = new ArrayList<>();

	private final List<Long> outputs = new ArrayList<>();

	private LayerRangeState layers;

	private int lastAttempt;

	private int endedAttempt;

	private boolean stopped;

	private boolean frozen;

	private long duplicateDelayMillis;

	private int refusalsLeft;

	private int incarnation;

	private boolean hasRun;

	FakeStage(VirtualTime time, ModelIdentity identity, int layer) {
		this.time = time;
		this.identity = identity;
		this.layer = layer;
		resetState();
	}

	boolean isStopped() {
		return this.stopped;
	}

	boolean isResponsive() {
		return !this.stopped && !this.frozen;
	}

	boolean hasRun() {
		return this.hasRun;
	}

	int incarnation() {
		return this.incarnation;
	}

	void kill() {
		this.stopped = true;
		this.incarnation++;
		this.deferredByFreeze.clear();
		List<Step> interrupted = List.copyOf(this.pending);
		this.pending.clear();
		interrupted.forEach((step) -> step.reply().accept(Reply.failed(step.stageIndex(), true)));
		resetState();
	}

	void restart() {
		kill();
		this.stopped = false;
		this.frozen = false;
		this.lastAttempt = 0;
		this.endedAttempt = 0;
	}

	void freeze(long millis) {
		this.frozen = true;
		this.time.afterMillis(millis, this::thaw);
	}

	void duplicateSteps(long delayMillis) {
		this.duplicateDelayMillis = delayMillis;
	}

	void refuse(int times) {
		this.refusalsLeft = times;
	}

	boolean takeRefusal() {
		return this.refusalsLeft-- > 0;
	}

	void whenThawed(Runnable action) {
		if (this.frozen) {
			this.deferredByFreeze.add(action);
			return;
		}
		action.run();
	}

	boolean tryStartAttempt(int attempt) {
		if (attempt <= this.endedAttempt || attempt <= this.lastAttempt) {
			return false;
		}
		this.lastAttempt = attempt;
		return true;
	}

	boolean isCurrent(int attempt) {
		return attempt > this.endedAttempt && attempt >= this.lastAttempt;
	}

	void end(int attempt) {
		if (this.stopped || !isCurrent(attempt)) {
			return;
		}
		this.endedAttempt = attempt;
		resetState();
	}

	int nextPosition() {
		return this.outputs.size();
	}

	void receive(Step step) {
		if (this.stopped) {
			step.reply().accept(Reply.failed(step.stageIndex(), false));
			return;
		}
		this.pending.add(step);
		whenThawed(() -> run(step));
	}

	private void run(Step step) {
		if (!isCurrent(step.attempt())) {
			reply(step, Reply.failed(step.stageIndex(), false));
			return;
		}
		this.lastAttempt = step.attempt();
		if (step.fromPosition() > nextPosition()) {
			reply(step, Reply.expected(nextPosition()));
			return;
		}
		for (int index = nextPosition() - step.fromPosition(); index < step.activations().size(); index++) {
			this.outputs.add(this.layers.run(step.activations().get(index)));
			this.hasRun = true;
		}
		int startIncarnation = this.incarnation;
		this.time.afterMillis(STEP_MILLIS, () -> {
			if (startIncarnation == this.incarnation) {
				whenThawed(() -> forward(step));
			}
		});
	}

	private void forward(Step step) {
		if (!isCurrent(step.attempt()) || nextPosition() <= step.lastPosition()) {
			reply(step, Reply.failed(step.stageIndex(), false));
			return;
		}
		if (step.stageIndex() == step.stages().size() - 1) {
			reply(step, Reply.token(Tokens.decode(this.outputs.get(step.lastPosition()))));
			return;
		}
		send(step, step.fromPosition(), (reply) -> {
			if (reply.expectedPosition() < 0 || reply.expectedPosition() >= step.fromPosition()) {
				reply(step, reply);
				return;
			}
			send(step, reply.expectedPosition(), (secondReply) -> reply(step, secondReply));
		});
	}

	private void send(Step step, int fromPosition, Consumer<Reply> onReply) {
		if (nextPosition() <= step.lastPosition()) {
			reply(step, Reply.failed(step.stageIndex(), false));
			return;
		}
		List<Long> forwardedActivations = List.copyOf(this.outputs.subList(fromPosition, step.lastPosition() + 1));
		int nextIndex = step.stageIndex() + 1;
		FakeStage next = step.stages().get(nextIndex);
		int startIncarnation = this.incarnation;
		Consumer<Reply> guarded = (reply) -> this.time.afterMillis(HOP_MILLIS, () -> {
			if (startIncarnation == this.incarnation) {
				whenThawed(() -> onReply.accept(reply));
			}
		});
		Step forwarded = new Step(step.attempt(), step.stages(), nextIndex, fromPosition, forwardedActivations,
				guarded);
		this.time.afterMillis(HOP_MILLIS, () -> next.receive(forwarded));
		if (this.duplicateDelayMillis > 0) {
			Step duplicate = new Step(step.attempt(), step.stages(), nextIndex, fromPosition, forwardedActivations,
					(ignored) -> {
					});
			this.time.afterMillis(this.duplicateDelayMillis, () -> next.receive(duplicate));
		}
	}

	private void reply(Step step, Reply reply) {
		if (this.pending.remove(step)) {
			step.reply().accept(reply);
		}
	}

	private void thaw() {
		this.frozen = false;
		List<Runnable> deferred = List.copyOf(this.deferredByFreeze);
		this.deferredByFreeze.clear();
		deferred.forEach(this::whenThawed);
	}

	private void resetState() {
		this.outputs.clear();
		this.layers = LayerRangeState.initial(this.identity, this.layer, this.layer + 1);
	}

	/** Activations sent to a stage. Steps are compared by identity. */
	static final class Step {

		private final int attempt;

		private final List<FakeStage> stages;

		private final int stageIndex;

		private final int fromPosition;

		private final List<Long> activations;

		private final Consumer<Reply> reply;

		Step(int attempt, List<FakeStage> stages, int stageIndex, int fromPosition, List<Long> activations,
				Consumer<Reply> reply) {
			this.attempt = attempt;
			this.stages = stages;
			this.stageIndex = stageIndex;
			this.fromPosition = fromPosition;
			this.activations = activations;
			this.reply = reply;
		}

		int attempt() {
			return this.attempt;
		}

		List<FakeStage> stages() {
			return this.stages;
		}

		int stageIndex() {
			return this.stageIndex;
		}

		int fromPosition() {
			return this.fromPosition;
		}

		List<Long> activations() {
			return this.activations;
		}

		int lastPosition() {
			return this.fromPosition + this.activations.size() - 1;
		}

		Consumer<Reply> reply() {
			return this.reply;
		}

	}

	/** The result of a step. */
	record Reply(String token, int failedStage, boolean crashed, int expectedPosition) {

		static Reply token(String token) {
			return new Reply(token, -1, false, -1);
		}

		static Reply failed(int stageIndex, boolean crashed) {
			return new Reply("", stageIndex, crashed, -1);
		}

		static Reply expected(int position) {
			return new Reply("", -1, false, position);
		}

	}

}
