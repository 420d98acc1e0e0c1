package org.burdocktray.process.serve.gateway;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpMethod;
import org.burdocktray.connection.http.AnswerText;
import org.burdocktray.connection.http.CheckedChannel;
import org.burdocktray.connection.http.ReadAnswer;
import org.burdocktray.model.NetworkAddress;

/**
 * One kept connection to a replica that writes other bytes besides its answers. Has the
 * handlers of {@link ReplicaConnections}. Thread safety: none.
 */
final class DisturbedLink implements AutoCloseable {

	private static final int MAX_BODY_CHARACTERS = 120;

	private static final double HEAD_SHARE = 0.03;

	private final Random random;

	private final double disturbedShare;

	private final CarriedRequests carried = new CarriedRequests();

	private final List<ForeignAnswer> foreignAnswers = new ArrayList<>();

	private final List<AnswerText> earlier = new ArrayList<>();

	private final Map<LinkDisturbance.Kind, Integer> disturbances = new EnumMap<>(LinkDisturbance.Kind.class);

	private final CheckedChannel channel = new CheckedChannel(new ForeignAnswerFilter(
			new NetworkAddress("127.0.0.1", 1), 2, this.carried, "Id", this.foreignAnswers::add));

	/** What the replica writes with the answer to the next request. */
	private String owed = "";

	/**
	 * Opens a connection.
	 * @param random draws what the replica writes
	 * @param disturbedShare the share of answers that it writes other bytes besides
	 */
	DisturbedLink(Random random, double disturbedShare) {
		this.random = random;
		this.disturbedShare = disturbedShare;
	}

	/**
	 * Sends a request and lets the replica answer it.
	 * @param id the id of the request
	 * @return the answer of the replica and what the client has read
	 */
	Exchange exchange(String id) {
		boolean isHead = this.random.nextDouble() < HEAD_SHARE;
		AnswerText own = isHead ? AnswerText.withoutBody(200, id, "run-" + id, "Content-Length: 50\r\n") : draw(id);
		this.carried.add(id);
		int passedOverBefore = this.foreignAnswers.size();
		this.channel.send(isHead ? HttpMethod.HEAD : HttpMethod.GET, id);
		write(own);
		this.earlier.add(own);
		List<ReadAnswer> answers = this.channel.takeAnswers();
		if (answers.isEmpty()) {
			this.channel.channel().advanceTimeBy(ForeignAnswerFilter.MAX_FOREIGN_MILLIS, TimeUnit.MILLISECONDS);
			this.channel.channel().runScheduledPendingTasks();
		}
		boolean isSilent = answers.isEmpty() && isOpen();
		if (isSilent) {
			this.channel.close();
			answers = this.channel.takeAnswers();
		}
		return new Exchange(own.read(), answers, this.foreignAnswers.size() - passedOverBefore, isSilent);
	}

	// Leaves out bytes without a status line behind a false start: no client can tell
	// that these are not one answer.
	private void write(AnswerText own) {
		String before = this.owed;
		String behind = "";
		this.owed = "";
		boolean hasFalseStart = false;
		while (this.random.nextDouble() < this.disturbedShare) {
			LinkDisturbance drawn = LinkDisturbance.draw(this.random, this.earlier, own);
			if (hasFalseStart && drawn.hasNoStatusLine()) {
				continue;
			}
			hasFalseStart |= drawn.kind() == LinkDisturbance.Kind.FALSE_START;
			this.disturbances.merge(drawn.kind(), 1, Integer::sum);
			before += drawn.before();
			behind = this.random.nextBoolean() ? behind + drawn.behind() : drawn.behind() + behind;
		}
		switch (this.random.nextInt(3)) {
			case 0 -> receive(before + own.text() + behind);
			case 1 -> {
				receive(before);
				receive(own.text());
				receive(behind);
			}
			default -> {
				int now = this.random.nextInt(behind.length() + 1);
				receive(before + own.text());
				receive(behind.substring(0, now));
				this.owed = behind.substring(now);
			}
		}
	}

	private void receive(String text) {
		if (this.random.nextBoolean()) {
			this.channel.receive(text);
		}
		else {
			this.channel.receiveInPieces(text, this.random);
		}
	}

	private AnswerText draw(String id) {
		int status = new int[] { 200, 500, 503 }[this.random.nextInt(3)];
		String body = "x".repeat(this.random.nextInt(MAX_BODY_CHARACTERS)) + id;
		String signature = "run-" + id;
		return switch (this.random.nextInt(6)) {
			case 0 -> AnswerText.chunked(status, id, signature, body, "");
			case 1 -> AnswerText.chunked(status, id, signature, body, "T: 1\r\n");
			case 2 -> AnswerText.withoutBody(204, id, signature, "");
			case 3 -> AnswerText.plain(status, id, signature, body).behindInterim(103);
			case 4 -> AnswerText.signatureFirst(status, id, signature, body);
			default -> AnswerText.plain(status, id, signature, body);
		};
	}

	/**
	 * Returns whether an answer was passed over, whose body may hold the answer of the
	 * replica to a later request.
	 * @return false if each answer was read by the client
	 */
	boolean hasPassedOver() {
		return !this.foreignAnswers.isEmpty();
	}

	boolean isOpen() {
		return this.channel.isOpen();
	}

	Map<LinkDisturbance.Kind, Integer> disturbances() {
		return this.disturbances;
	}

	/**
	 * Returns how many answers were refused.
	 * @return the number
	 */
	int refused() {
		return this.channel.refused().size();
	}

	long allocatedBytes() {
		return this.channel.allocatedBytes();
	}

	@Override
	public void close() {
		this.channel.close();
	}

	/**
	 * What has become of one request. Thread safety: immutable.
	 *
	 * @param own the answer of the replica
	 * @param answers what the client has read, in order
	 * @param passedOver the number of answers that were passed over
	 * @param isSilent whether the client still waited, and then ended the connection, as
	 * it does with replicas that are silent
	 */
	record Exchange(ReadAnswer own, List<ReadAnswer> answers, int passedOver, boolean isSilent) {

	}

}
