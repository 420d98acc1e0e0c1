package org.burdocktray.process.burn;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Formats a report as one JSON object on one line. A value that is unknown is omitted,
 * and the state gives the reason. Thread safety: stateless.
 */
public final class JsonBurnReportWriter implements BurnReportWriter {

	@Override
	public String write(BurnReport report) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		root.put("asOfMillis", report.asOfMillis());
		root.put("bundleVersion", report.bundleVersion());
		root.put("burning", report.count(BurnAlert.State.BURNING));
		root.put("quiet", report.count(BurnAlert.State.QUIET));
		root.put("undecided", report.count(BurnAlert.State.UNDECIDED));
		ArrayNode burns = root.putArray("burns");
		report.burns().forEach((burn) -> writeBurn(burn, burns.addObject()));
		ArrayNode vms = root.putArray("vms");
		report.vms().forEach((vm) -> writeVm(vm, vms.addObject()));
		ArrayNode notes = root.putArray("notes");
		report.notes()
			.forEach((note) -> notes.addObject()
				.put("kind", note.kind().name())
				.put("subject", note.subject())
				.put("detail", note.detail()));
		return root + "\n";
	}

	private static void writeBurn(IndicatorBurn burn, ObjectNode node) {
		node.put("organisation", burn.organisation());
		node.put("objective", burn.objective().name());
		node.put("kind", burn.objective().kind().name());
		node.put("target", burn.objective().target());
		node.put("thresholdMillis", burn.objective().thresholdMillis());
		node.put("windowHours", burn.objective().windowHours());
		ObjectNode budget = node.putObject("budget");
		burn.budget().remainingShare().ifPresent((share) -> budget.put("leftShare", share));
		writeRate(burn.budget().windowRate(), budget.putObject("window"));
		ArrayNode alerts = node.putArray("alerts");
		burn.alerts().forEach((alert) -> writeAlert(alert, alerts.addObject()));
	}

	private static void writeAlert(BurnAlert alert, ObjectNode node) {
		node.put("state", alert.state().name());
		node.put("severity", alert.windowPair().severity().name());
		node.put("burnRateBound", alert.windowPair().burnRateBound());
		writeRate(alert.longWindowRate(), node.putObject("longWindow"));
		writeRate(alert.shortWindowRate(), node.putObject("shortWindow"));
	}

	private static void writeRate(BurnRate rate, ObjectNode node) {
		node.put("windowMillis", rate.windowMillis());
		node.put("state", rate.state().name());
		rate.value().ifPresent((value) -> node.put("burnRate", value));
		node.put("good", rate.counts().good());
		node.put("bad", rate.counts().bad());
		node.put("coverage", rate.coverage());
	}

	private static void writeVm(VmCoverage vm, ObjectNode node) {
		node.put("vm", vm.vm());
		node.put("firstScrapeMillis", vm.firstScrapeMillis());
		node.put("lastScrapeMillis", vm.lastScrapeMillis());
		node.put("restarts", vm.restarts());
		ArrayNode windows = node.putArray("windows");
		vm.windows()
			.forEach((window) -> windows.addObject()
				.put("windowMillis", window.windowMillis())
				.put("expectedMillis", window.expectedMillis())
				.put("coveredMillis", window.coveredMillis()));
	}

}
