package org.burdocktray.process.burn;

import java.util.Locale;

/**
 * Formats a report as one HTML page without scripts and external resources. Invariant:
 * all names and notes are escaped. Thread safety: stateless.
 */
public final class HtmlBurnReportWriter implements BurnReportWriter {

	private static final String STYLE = """
			:root{color-scheme:light}
			body{font:15px/1.45 system-ui,sans-serif;max-width:1000px;margin:2rem auto;padding:0 1rem;color:#1c2430}
			h1{font-size:1.5rem;margin-bottom:.2rem}
			h2{font-size:1.1rem;margin:2.2rem 0 .3rem;overflow-wrap:anywhere}
			p{margin:.3rem 0}
			table{border-collapse:collapse;width:100%;margin:.6rem 0}
			th,td{text-align:left;padding:.3rem .6rem;border-bottom:1px solid #d8dde4;vertical-align:top}
			td{overflow-wrap:anywhere}
			small{color:#566270;display:block}
			svg{width:100%;height:auto;max-width:860px}
			.BURNING{background:#b3261e;color:#fff}
			.QUIET{background:#dff1e3;color:#14532d}
			.UNDECIDED{background:#fdeeca;color:#6b4300}
			.state{border-radius:4px;padding:.1rem .45rem;font-size:.85rem;white-space:nowrap}
			.bar{background:#e3e7ec;height:10px;border-radius:5px;max-width:360px}
			.bar div{background:#2f7d4f;height:10px;border-radius:5px}
			.low{background:#fdeeca}
			.grid{stroke:#d8dde4;stroke-width:1}
			.tick{font-size:11px;fill:#566270}
			polyline{fill:none;stroke-width:2}
			polyline.window0{stroke:#b3261e}circle.window0{fill:#b3261e}.key0{color:#b3261e}
			polyline.window1{stroke:#b86e00}circle.window1{fill:#b86e00}.key1{color:#b86e00}
			polyline.window2{stroke:#1f5fa8}circle.window2{fill:#1f5fa8}.key2{color:#1f5fa8}
			.scroll{overflow-x:auto}
			.scroll svg{min-width:560px}
			.share td,.share th{white-space:nowrap;padding:.3rem .4rem;font-size:.88rem}
			.alerts td:first-child{white-space:nowrap}
			""";

	@Override
	public String write(BurnReport report) {
		StringBuilder html = new StringBuilder();
		html.append("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n")
			.append("<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\n")
			.append("<title>Service-level burn</title>\n<style>\n")
			.append(STYLE)
			.append("</style>\n</head>\n<body>\n<h1>Service-level burn</h1>\n");
		appendLine(html, "<p>At %s, by the objectives of bundle version %d.</p>",
				BurnFormat.formatTime(report.asOfMillis()), report.bundleVersion());
		appendLine(html, "<p><strong>%s.</strong></p>", BurnFormat.formatSummary(report));
		report.burns().forEach((burn) -> writeBurn(burn, html));
		writeVms(report, html);
		writeNotes(report, html);
		return html.append("</body>\n</html>\n").toString();
	}

	private static void writeBurn(IndicatorBurn burn, StringBuilder html) {
		ErrorBudget budget = burn.budget();
		BurnRate windowRate = budget.windowRate();
		appendLine(html, "<h2>%s / %s</h2>", escape(burn.organisation()), escape(burn.objective().name()));
		appendLine(html,
				"<p>Target %s%% over %s. Error budget left: <strong>%s</strong> (%d bad of %d events, %s known)</p>",
				TargetFormat.formatPercent(burn.objective()), BurnFormat.formatDuration(windowRate.windowMillis()),
				BurnFormat.formatPercent(budget.remainingShare()), windowRate.counts().bad(),
				windowRate.counts().total(), BurnFormat.formatPercent(windowRate.coverage()));
		budget.remainingShare()
			.ifPresent((share) -> appendLine(html, "<div class=\"bar\"><div style=\"width:%.1f%%\"></div></div>",
					Math.max(0, share) * 100));
		html.append("<div class=\"scroll\"><table class=\"alerts\">\n<tr><th>Alert</th><th>State</th>")
			.append("<th>Burn rate above</th><th>Long window</th>")
			.append("<th>Short window</th></tr>\n");
		burn.alerts().forEach((alert) -> writeAlert(alert, html));
		html.append("</table></div>\n<p>Burn rate over time");
		for (int index = 0; index < burn.alerts().size(); index++) {
			html.append(String.format(" <span class=\"key%d\">&#9632; %s</span>", index,
					BurnFormat.formatDuration(burn.alerts().get(index).windowPair().longMillis())));
		}
		html.append("</p>\n<div class=\"scroll\">").append(BurnChart.draw(burn)).append("</div>\n");
	}

	private static void writeAlert(BurnAlert alert, StringBuilder html) {
		appendLine(html,
				"<tr><td>%s</td><td><span class=\"state %s\">%s</span></td><td>%s</td><td>%s</td><td>%s</td></tr>",
				alert.windowPair().severity().name().toLowerCase(Locale.ROOT), alert.state(),
				alert.state().name().toLowerCase(Locale.ROOT), alert.windowPair().burnRateBound(),
				formatRate(alert.longWindowRate()), formatRate(alert.shortWindowRate()));
	}

	private static String formatRate(BurnRate rate) {
		return String.format(Locale.ROOT, "%s: <strong>%s</strong><small>%d bad of %d, %s known</small>",
				BurnFormat.formatDuration(rate.windowMillis()), BurnFormat.formatRate(rate), rate.counts().bad(),
				rate.counts().total(), BurnFormat.formatPercent(rate.coverage()));
	}

	private static void writeVms(BurnReport report, StringBuilder html) {
		html.append(
				"<h2>Known share of each window by VM</h2>\n<div class=\"scroll\"><table class=\"share\">\n<tr><th>VM</th>");
		report.vms()
			.stream()
			.limit(1)
			.flatMap((vm) -> vm.windows().stream())
			.forEach((window) -> html.append("<th>")
				.append(BurnFormat.formatDuration(window.windowMillis()))
				.append("</th>"));
		html.append("<th>Last scrape</th></tr>\n");
		for (VmCoverage vm : report.vms()) {
			html.append("<tr><td>").append(escape(vm.vm())).append("</td>");
			vm.windows().forEach((window) -> writeCoverageCell(window.share(), html));
			appendLine(html, "<td>%s</td></tr>",
					(vm.lastScrapeMillis() == 0) ? "none" : BurnFormat.formatTime(vm.lastScrapeMillis()));
		}
		html.append("</table></div>\n");
	}

	private static void writeCoverageCell(double share, StringBuilder html) {
		html.append((share < BurnRate.MIN_COVERAGE) ? "<td class=\"low\">" : "<td>")
			.append(BurnFormat.formatPercent(share))
			.append("</td>");
	}

	private static void writeNotes(BurnReport report, StringBuilder html) {
		if (report.notes().isEmpty()) {
			return;
		}
		html.append("<h2>Notes</h2>\n<table>\n");
		report.notes()
			.forEach((note) -> appendLine(html, "<tr><td>%s</td><td>%s</td><td>%s</td></tr>",
					note.kind().name().toLowerCase(Locale.ROOT).replace('_', ' '), escape(note.subject()),
					escape(note.detail())));
		html.append("</table>\n");
	}

	private static void appendLine(StringBuilder html, String format, Object... arguments) {
		html.append(String.format(Locale.ROOT, format, arguments)).append('\n');
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;")
			.replace("<", "&lt;")
			.replace(">", "&gt;")
			.replace("\"", "&quot;")
			.replace("'", "&#39;");
	}

}
