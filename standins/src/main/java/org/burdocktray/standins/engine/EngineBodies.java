package org.burdocktray.standins.engine;

import java.util.List;

/**
 * Small JSON bodies of the engine's API. Thread safety: stateless.
 */
final class EngineBodies {

	private EngineBodies() {
	}

	record TokenLine(long attempt, int position, String token) {
	}

	record DoneLine(long attempt, boolean done, String finishReason, int promptTokens) {
	}

	record FailedLine(long attempt, int failedStage, int position, String detail, boolean crashed) {
	}

	record StepToken(String token) {
	}

	record ExpectedPosition(int expectedPosition) {
	}

	record StageFailure(int failedStage, String detail, boolean crashed) {
	}

	record LoadReport(String upstream, int inFlight, double tokensPerSecond, boolean leaving, String model,
			String modelVersion) {
	}

	record Desired(long fencingNumber, String model, String modelVersion, List<String> adapters, int fromLayer,
			int toLayer, String role) {

		Desired {
			adapters = (adapters != null) ? List.copyOf(adapters) : List.of();
		}

	}

	record StreamExport(String model, String modelVersion, String adapter, int fromLayer, int toLayer, long attempt,
			List<String> states, List<String> outputs) {
	}

	record Counts(long streams, long positions, long violations, long ordersTaken, long ordersRefused, long released,
			long staleRefused) {
	}

}
