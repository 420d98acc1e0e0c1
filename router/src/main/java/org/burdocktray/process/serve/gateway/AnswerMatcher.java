package org.burdocktray.process.serve.gateway;

import java.util.Optional;

/**
 * Tells the answer to the request in progress on one connection from answers that name
 * another request, which a replica may send late. Invariants: an answer is passed over
 * only if it has an id, that is not the id of the request in progress, and an earlier
 * request on the connection could have caused it; what is passed over for one request is
 * bounded in number and bytes, and none of it is kept. Thread safety: none, confined to
 * one event loop.
 */
final class AnswerMatcher {

	static final int MAX_FOREIGN_ANSWERS = 8;

	static final long MAX_FOREIGN_BYTES = 65_536;

	private Optional<String> expectedId = Optional.empty();

	private boolean hasSent;

	private boolean isFirst;

	private boolean mayPassOver;

	private boolean inProgress;

	private boolean passingOver;

	private int foreignAnswers;

	private long foreignBytes;

	/**
	 * Records that a request is sent.
	 * @param requestId its id
	 * @param hasAnswerWithBody whether the body of its answer is as long as its head says
	 */
	void onRequest(Optional<String> requestId, boolean hasAnswerWithBody) {
		this.isFirst = !this.hasSent;
		this.hasSent = true;
		this.expectedId = requestId;
		this.mayPassOver = requestId.isPresent() && hasAnswerWithBody;
		this.inProgress = true;
		this.foreignAnswers = 0;
		this.foreignBytes = 0;
	}

	/**
	 * Decides on an answer by its head.
	 * @param answerId the id that it names
	 * @return whether it is passed over to its end
	 */
	boolean passesOver(Optional<String> answerId) {
		boolean isForeign = answerId.isPresent() && !(this.inProgress && answerId.equals(this.expectedId));
		boolean hasEarlierRequest = this.hasSent && !(this.isFirst && this.inProgress);
		if (!isForeign || !hasEarlierRequest || !this.mayPassOver || this.foreignAnswers == MAX_FOREIGN_ANSWERS) {
			return false;
		}
		this.foreignAnswers++;
		this.passingOver = true;
		return true;
	}

	/**
	 * Records bytes of the answer that is passed over.
	 * @param count their number
	 * @return false if no more may be read
	 */
	boolean addForeignBytes(int count) {
		this.foreignBytes += count;
		return this.foreignBytes <= MAX_FOREIGN_BYTES;
	}

	/** Records the end of the answer that is passed over. */
	void endForeignAnswer() {
		this.passingOver = false;
	}

	/** Records the end of the answer to the request in progress. */
	void endAnswer() {
		this.inProgress = false;
	}

	boolean isPassingOver() {
		return this.passingOver;
	}

	boolean isInProgress() {
		return this.inProgress;
	}

	Optional<String> expectedId() {
		return this.inProgress ? this.expectedId : Optional.empty();
	}

}
