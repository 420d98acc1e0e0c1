package org.burdocktray.process.burn;

import java.util.Locale;

/**
 * Formats a report as text for a terminal. Invariant: control characters in names and
 * notes are replaced. Thread safety: stateless.
 */
public final class TextBurnReportWriter implements BurnReportWriter {

	@Override
	public String write(BurnReport report) {
		StringBuilder text = new StringBuilder();
		appendLine(text, "Burn at %s by the objectives of bundle version %d",
				BurnFormat.formatTime(report.asOfMillis()), report.bundleVersion());
		appendLine(text, "%s", BurnFormat.formatSummary(report));
		report.burns().forEach((burn) -> writeBurn(burn, text));
		appendLine(text, "");
		appendLine(text, "Known share of each window by VM");
		report.vms().forEach((vm) -> writeVm(vm, text));
		if (!report.notes().isEmpty()) {
			appendLine(text, "");
			appendLine(text, "Notes");
		}
		report.notes()
			.forEach((note) -> appendLine(text, "  %s %s: %s", note.kind(), replaceControlCharacters(note.subject()),
					replaceControlCharacters(note.detail())));
		return text.toString();
	}

	private static void writeBurn(IndicatorBurn burn, StringBuilder text) {
		ErrorBudget budget = burn.budget();
		EventCounts counts = budget.windowRate().counts();
		appendLine(text, "");
		appendLine(text, "%s / %s: target %s%% over %s", replaceControlCharacters(burn.organisation()),
				replaceControlCharacters(burn.objective().name()), TargetFormat.formatPercent(burn.objective()),
				BurnFormat.formatDuration(budget.windowRate().windowMillis()));
		appendLine(text, "  budget left %s (%d bad of %d events, %s known)",
				BurnFormat.formatPercent(budget.remainingShare()), counts.bad(), counts.total(),
				BurnFormat.formatPercent(budget.windowRate().coverage()));
		burn.alerts().forEach((alert) -> writeAlert(alert, text));
	}

	private static void writeAlert(BurnAlert alert, StringBuilder text) {
		appendLine(text, "  %-9s %-6s above %-5s  %s | %s", alert.state(), alert.windowPair().severity(),
				alert.windowPair().burnRateBound(), formatRate(alert.longWindowRate()),
				formatRate(alert.shortWindowRate()));
	}

	private static String formatRate(BurnRate rate) {
		return String.format(Locale.ROOT, "%s: %s (%d bad of %d, %s known)",
				BurnFormat.formatDuration(rate.windowMillis()), BurnFormat.formatRate(rate), rate.counts().bad(),
				rate.counts().total(), BurnFormat.formatPercent(rate.coverage()));
	}

	private static void writeVm(VmCoverage vm, StringBuilder text) {
		StringBuilder windows = new StringBuilder();
		vm.windows()
			.forEach((window) -> windows.append("  ")
				.append(BurnFormat.formatDuration(window.windowMillis()))
				.append(' ')
				.append(BurnFormat.formatPercent(window.share())));
		appendLine(text, "  %s:%s", replaceControlCharacters(vm.vm()), windows);
	}

	private static String replaceControlCharacters(String name) {
		return name.replaceAll("\\p{Cntrl}", "?");
	}

	private static void appendLine(StringBuilder text, String format, Object... arguments) {
		text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
	}

}
