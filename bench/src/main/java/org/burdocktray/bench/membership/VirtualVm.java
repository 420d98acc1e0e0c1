package org.burdocktray.bench.membership;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;

import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.Vm;
import org.burdocktray.process.membership.Membership;
import org.burdocktray.process.membership.PeerAction;

/**
 * An entry VM in virtual time. While the VM is paused, its events are queued. Thread
 * safety: none.
 */
public final class VirtualVm {

	private final Vm vm;

	private final Membership membership;

	private final Queue<Runnable> queuedEvents = new ArrayDeque<>();

	private final Map<Long, Consumer<PeerEnvelope>> pendingReplies = new HashMap<>();

	private long lastInboundId;

	private boolean running = true;

	private boolean paused;

	private long sentBytes;

	private long sentMessages;

	private long receivedBytes;

	VirtualVm(Vm vm, Membership membership) {
		this.vm = vm;
		this.membership = membership;
	}

	/**
	 * Returns the VM's identity.
	 * @return the VM
	 */
	public Vm vm() {
		return this.vm;
	}

	/**
	 * Returns the membership protocol of the VM.
	 * @return the class under test
	 */
	public Membership membership() {
		return this.membership;
	}

	/**
	 * Returns whether the VM is running and not paused.
	 * @return whether the VM responds to messages
	 */
	public boolean isResponsive() {
		return this.running && !this.paused;
	}

	/**
	 * Returns the number of bytes sent, including the transport overhead.
	 * @return the bytes since the start
	 */
	public long sentBytes() {
		return this.sentBytes;
	}

	/**
	 * Returns the number of bytes received, including the transport overhead.
	 * @return the bytes since the start
	 */
	public long receivedBytes() {
		return this.receivedBytes;
	}

	/**
	 * Returns the number of messages sent.
	 * @return the number of requests and replies
	 */
	public long sentMessages() {
		return this.sentMessages;
	}

	boolean isRunning() {
		return this.running;
	}

	void stop() {
		this.running = false;
		this.queuedEvents.clear();
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		while (!this.queuedEvents.isEmpty()) {
			this.queuedEvents.poll().run();
		}
	}

	void handleEvent(Runnable event) {
		if (!this.running) {
			return;
		}
		if (this.paused) {
			this.queuedEvents.add(event);
			return;
		}
		event.run();
	}

	void recordSent(long bytes) {
		this.sentBytes += bytes;
		this.sentMessages++;
	}

	void recordReceived(long bytes) {
		this.receivedBytes += bytes;
	}

	List<PeerAction> handleRequest(PeerEnvelope request, long nowNanos, Consumer<PeerEnvelope> reply) {
		long inboundId = ++this.lastInboundId;
		this.pendingReplies.put(inboundId, reply);
		return this.membership.onRequest(inboundId, request, nowNanos);
	}

	void deliverReply(PeerAction.Reply reply) {
		this.pendingReplies.remove(reply.inboundId()).accept(reply.envelope());
	}

}
