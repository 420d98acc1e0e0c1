package org.burdocktray.standins.engine;

import org.burdocktray.standins.Problem;

/**
 * Signals that a step was refused before any layer ran. Thread safety: immutable.
 */
final class StepRefusedException extends Exception {

	private static final long serialVersionUID = 1L;

	private final int statusCode;

	private final transient Object body;

	private StepRefusedException(int statusCode, Object body) {
		super(body.toString(), null, false, false);
		this.statusCode = statusCode;
		this.body = body;
	}

	static StepRefusedException malformed(String detail) {
		return new StepRefusedException(400, Problem.notRun(detail));
	}

	static StepRefusedException otherLayers() {
		return new StepRefusedException(404, Problem.notRun("other model, version, adapter or layers"));
	}

	static StepRefusedException staleAttempt(long attempt) {
		return new StepRefusedException(409, Problem.notRun("attempt " + attempt + " is superseded or ended"));
	}

	static StepRefusedException expected(int position) {
		return new StepRefusedException(409, new EngineBodies.ExpectedPosition(position));
	}

	int statusCode() {
		return this.statusCode;
	}

	Object body() {
		return this.body;
	}

}
