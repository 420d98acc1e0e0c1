package org.burdocktray.process.serve.gateway;

import java.util.Optional;

/**
 * Tells the answer to the request in progress on one connection from second answers to
 * earlier requests, which a replica may send late. Invariants: an answer is passed over
 * only if it names one of the last requests of the connection, and not the one in
 * progress; what is passed over for one request is bounded in number and bytes, and none
 * of it is kept. Thread safety: none, confined to one event loop.
 */
final class AnswerMatcher {

	static final int MAX_FOREIGN_ANSWERS = 8;

	static final long MAX_FOREIGN_BYTES = 65_536;

	private final CarriedRequests carried;

	private Optional<String> idInProgress = Optional.empty();

	private boolean hasSentHead;

	private boolean passingOver;

	private int foreignAnswers;

	private long foreignBytes;

	/**
	 * Creates the matcher of a connection on which no request has been sent.
	 * @param carried the last requests of the connection, with the one in progress
	 */
	AnswerMatcher(CarriedRequests carried) {
		this.carried = carried;
	}

	/**
	 * Records that a request is sent.
	 * @param requestId its id
	 * @param isHead whether the body of its answer is missing, whatever the head says, so
	 * that the end of a second answer can't be told
	 */
	void onRequest(Optional<String> requestId, boolean isHead) {
		this.idInProgress = requestId;
		this.hasSentHead |= isHead;
		this.foreignAnswers = 0;
		this.foreignBytes = 0;
	}

	/**
	 * Decides on an answer by its head.
	 * @param answerId the id that it names
	 * @return whether it is passed over to its end
	 */
	boolean passesOver(Optional<String> answerId) {
		boolean isOfEarlierRequest = answerId.filter(this.carried::contains).isPresent()
				&& !answerId.equals(this.idInProgress);
		if (!isOfEarlierRequest || this.hasSentHead || this.foreignAnswers == MAX_FOREIGN_ANSWERS) {
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
		this.idInProgress = Optional.empty();
	}

	boolean isPassingOver() {
		return this.passingOver;
	}

	/**
	 * Returns the request in progress.
	 * @return its id, empty if there is none
	 */
	Optional<String> idInProgress() {
		return this.idInProgress;
	}

}
