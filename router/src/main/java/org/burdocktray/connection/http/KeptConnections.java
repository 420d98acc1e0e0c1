package org.burdocktray.connection.http;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import io.vertx.core.http.HttpConnection;

/**
 * The open connections of a client that uses them for several calls. Connections may fall
 * silent without being closed, often all of them at once. When a call on one of them gets
 * no answer, those to the same server that have brought nothing since that answer was due
 * are closed: the next calls open new connections instead of waiting on silent ones one
 * after the other. A connection whose call may still be answered in time is kept, unless
 * the call waits for something to happen, since such a call can be repeated at once.
 * Invariant: a connection that is closed is not tracked. Thread safety: none, confined to
 * one event loop.
 */
public final class KeptConnections {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<HttpConnection, Use> open = new IdentityHashMap<>();

	private final LongSupplier nanoTime;

	/**
	 * Creates an instance without connections.
	 * @param nanoTime the monotonic clock
	 */
	public KeptConnections(LongSupplier nanoTime) {
		this.nanoTime = nanoTime;
	}

	/**
	 * Tracks a connection until it is closed.
	 * @param connection the connection, on which no call has been made
	 */
	public void add(HttpConnection connection) {
		this.open.put(connection, new Use(this.nanoTime.getAsLong()));
		connection.closeHandler((closed) -> this.open.remove(connection));
	}

	/**
	 * Records that a call is made.
	 * @param connection its connection
	 * @param waitMillis how long the server is to wait before it answers
	 */
	public void recordCall(HttpConnection connection, long waitMillis) {
		Use use = this.open.get(connection);
		if (use != null) {
			use.hasCall = true;
			use.dueNanos = this.nanoTime.getAsLong() + waitMillis * NANOS_PER_MILLI;
		}
	}

	/**
	 * Records that the call of a connection has been answered.
	 * @param connection the connection
	 */
	public void recordAnswer(HttpConnection connection) {
		Use use = this.open.get(connection);
		if (use != null) {
			use.hasCall = false;
			use.lastAnswerNanos = this.nanoTime.getAsLong();
		}
	}

	/**
	 * Records that the call of a connection is given up without an answer, and closes the
	 * other connections that may be silent.
	 * @param connection the connection, which the caller closes
	 */
	public void recordSilence(HttpConnection connection) {
		Use silent = this.open.remove(connection);
		if (silent == null) {
			return;
		}
		long nowNanos = this.nanoTime.getAsLong();
		for (HttpConnection other : List.copyOf(this.open.keySet())) {
			Use use = this.open.get(other);
			boolean isSuspect = use != null && use.lastAnswerNanos - silent.dueNanos < 0;
			if (isSuspect && use.mayBeClosed(nowNanos) && other.remoteAddress().equals(connection.remoteAddress())) {
				this.open.remove(other);
				other.close();
			}
		}
	}

	/**
	 * What is known of one connection. Thread safety: none.
	 */
	private static final class Use {

		/** When the last answer has come, or the connection was opened. */
		private long lastAnswerNanos;

		private boolean hasCall;

		/** When the answer to the call is due, unless something happens before. */
		private long dueNanos;

		private Use(long openedNanos) {
			this.lastAnswerNanos = openedNanos;
			this.dueNanos = openedNanos;
		}

		private boolean mayBeClosed(long nowNanos) {
			return !this.hasCall || this.dueNanos - nowNanos > 0;
		}

	}

}
