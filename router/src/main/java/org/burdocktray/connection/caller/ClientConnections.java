package org.burdocktray.connection.caller;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * The connections that clients have opened to one listener. When there are too many,
 * those go first that have been turned away, then those on which no request has ever been
 * complete, then those whose request is not complete, then idle ones, of each kind the
 * oldest. Invariant: at most the maximum number is open. Thread safety: none, confined to
 * one event loop.
 */
public final class ClientConnections {

	private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * After a longer pause of the event loop, what clients have sent meanwhile is read
	 * before time limits are enforced.
	 */
	private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The handler in which Vert.x handles messages. */
	private static final String CODEC_OUTPUT = "handler";

	private final int maxConnections;

	private final Supplier<ClientLimits> limits;

	private final ClientMemory memory;

	private final Listener listener;

	private final Map<State, LinkedHashSet<RequestGuard>> guards = new EnumMap<>(State.class);

	private final Map<RequestGuard, State> states = new HashMap<>();

	private long lastCheckNanos = System.nanoTime();

	/**
	 * Creates the connections of a listener that has none yet.
	 * @param maxConnections the maximum number of open connections
	 * @param limits the limits of each of them, as they are now
	 * @param memory the memory that they share with those of other listeners
	 * @param listener is told of clients that are turned away
	 */
	public ClientConnections(int maxConnections, Supplier<ClientLimits> limits, ClientMemory memory,
			Listener listener) {
		this.maxConnections = maxConnections;
		this.limits = limits;
		this.memory = memory;
		this.listener = listener;
		for (State state : State.values()) {
			this.guards.put(state, new LinkedHashSet<>());
		}
	}

	/**
	 * Guards a connection on which nothing has been read.
	 * @param connection the connection of a server without TLS and HTTP/2
	 */
	public void add(HttpConnection connection) {
		add(((ConnectionBase) connection).channel().pipeline(), CODEC_OUTPUT);
	}

	/**
	 * Guards a connection on which nothing has been read.
	 * @param pipeline its handlers
	 * @param codecOutput the handler that gets what the codec has read
	 */
	void add(ChannelPipeline pipeline, String codecOutput) {
		RequestGuard guard = new RequestGuard(this, this.memory);
		pipeline.addFirst("unread-answers", guard.unreadAnswers());
		pipeline.addFirst("request-guard", guard);
		pipeline.addBefore(codecOutput, "answer-ends", new AnswerEnds(guard::onAnswerSent));
		if (this.states.size() >= this.maxConnections && !makeRoom()) {
			this.listener.onRefused(ClientRefusal.CONNECTIONS);
			guard.close();
			return;
		}
		move(guard, State.NEW);
	}

	private boolean makeRoom() {
		Optional<RequestGuard> victim = Stream.of(State.REFUSED, State.NEW, State.SENDING, State.IDLE)
			.map(this.guards::get)
			.filter((candidates) -> !candidates.isEmpty())
			.map((candidates) -> candidates.iterator().next())
			.findFirst();
		victim.ifPresent((guard) -> {
			if (this.states.get(guard) != State.REFUSED) {
				this.listener.onRefused(ClientRefusal.CONNECTIONS);
			}
			remove(guard);
			guard.close();
		});
		return victim.isPresent();
	}

	ClientLimits limits() {
		return this.limits.get();
	}

	void move(RequestGuard guard, State state) {
		remove(guard);
		this.states.put(guard, state);
		this.guards.get(state).add(guard);
	}

	void remove(RequestGuard guard) {
		State state = this.states.remove(guard);
		if (state != null) {
			this.guards.get(state).remove(guard);
		}
	}

	void onRefused(RequestGuard guard, ClientRefusal refusal) {
		if (this.states.containsKey(guard)) {
			move(guard, State.REFUSED);
		}
		if (refusal != ClientRefusal.IDLE) {
			this.listener.onRefused(refusal);
		}
	}

	/** Turns the clients away that have sent the most, while all have sent too much. */
	void limitUnparsedBytes() {
		refuseLargest(this.memory::isUnparsedExceeded, RequestGuard::unparsedBytes, ClientRefusal.UNPARSED_BYTES);
	}

	/** Closes the connections on which the most waits, while too much waits on all. */
	void limitUnreadBytes() {
		refuseLargest(this.memory::isUnreadExceeded, RequestGuard::unreadBytes, ClientRefusal.UNREAD_BYTES);
	}

	private void refuseLargest(BooleanSupplier isExceeded, ToLongFunction<RequestGuard> size, ClientRefusal refusal) {
		while (isExceeded.getAsBoolean()) {
			Optional<RequestGuard> largest = this.states.keySet()
				.stream()
				.max(Comparator.comparingLong(size))
				.filter((guard) -> size.applyAsLong(guard) > 0);
			if (largest.isEmpty()) {
				return;
			}
			largest.get().refuse(refusal);
		}
	}

	/**
	 * Enforces the time limits. To be called often.
	 * @param nowNanos the monotonic time
	 */
	public void tick(long nowNanos) {
		long pauseNanos = nowNanos - this.lastCheckNanos;
		if (pauseNanos < CHECK_INTERVAL_NANOS) {
			return;
		}
		this.lastCheckNanos = nowNanos;
		if (pauseNanos > MAX_PAUSE_NANOS) {
			return;
		}
		List.copyOf(this.states.keySet()).forEach((guard) -> guard.checkTime(nowNanos));
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int count() {
		return this.states.size();
	}

	/**
	 * Is told of clients that are turned away.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Called for each request or connection that is refused, but not for idle
		 * connections.
		 * @param refusal the reason
		 */
		void onRefused(ClientRefusal refusal);

	}

	/** What happens on a connection. */
	enum State {

		/** No request has been complete. */
		NEW,

		/** A request is in progress whose body is not complete. */
		SENDING,

		/** A request waits for its answer, or the answer is being sent. */
		WAITING,

		/** The last request has been answered. */
		IDLE,

		/** The client has been turned away. */
		REFUSED

	}

}
