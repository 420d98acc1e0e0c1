package org.burdocktray.process.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

/**
 * Draws the long-window burn rates of one indicator over time as inline SVG, on a
 * logarithmic scale of 1 + burn rate. A line is interrupted where there is no burn rate.
 * Thread safety: stateless.
 */
final class BurnChart {

	private static final int WIDTH_PIXELS = 760;

	private static final int HEIGHT_PIXELS = 230;

	private static final int LEFT_MARGIN_PIXELS = 50;

	private static final int RIGHT_MARGIN_PIXELS = 12;

	private static final int TOP_MARGIN_PIXELS = 10;

	private static final int BOTTOM_MARGIN_PIXELS = 26;

	private static final double MIN_AXIS_MAX_RATE = 30;

	private static final double[] GRID_LINE_RATES = { 0, 1, 6, 14.4, 100, 1000, 10_000 };

	private BurnChart() {
	}

	static String draw(IndicatorBurn burn) {
		List<BurnPoint> history = burn.history();
		if (history.size() < 2 || !hasAnyRate(history)) {
			return "<p>No figure at any time of the chart.</p>\n";
		}
		StringBuilder svg = new StringBuilder(String.format(Locale.ROOT,
				"<svg viewBox=\"0 0 %d %d\" role=\"img\" aria-label=\"Burn rate over time\">%n", WIDTH_PIXELS,
				HEIGHT_PIXELS));
		double axisMaxRate = findAxisMaxRate(history);
		drawGrid(axisMaxRate, svg);
		drawTimeLabels(history, svg);
		for (int windowIndex = 0; windowIndex < burn.alerts().size(); windowIndex++) {
			drawLine(history, windowIndex, axisMaxRate, svg);
		}
		return svg.append("</svg>\n").toString();
	}

	private static void drawGrid(double axisMaxRate, StringBuilder svg) {
		for (double rate : GRID_LINE_RATES) {
			if (rate > axisMaxRate) {
				continue;
			}
			double y = toY(rate, axisMaxRate);
			svg.append(String.format(Locale.ROOT,
					"<line class=\"grid\" x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\"/>"
							+ "<text class=\"tick\" x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>%n",
					LEFT_MARGIN_PIXELS, WIDTH_PIXELS - RIGHT_MARGIN_PIXELS, y, y, LEFT_MARGIN_PIXELS - 6, y + 4,
					(rate == Math.rint(rate)) ? String.valueOf((long) rate) : String.valueOf(rate)));
		}
	}

	private static void drawTimeLabels(List<BurnPoint> history, StringBuilder svg) {
		int y = HEIGHT_PIXELS - 8;
		svg.append(String.format(Locale.ROOT,
				"<text class=\"tick\" x=\"%d\" y=\"%d\">%s</text>"
						+ "<text class=\"tick\" x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>%n",
				LEFT_MARGIN_PIXELS, y, BurnFormat.formatTime(history.get(0).timeMillis()),
				WIDTH_PIXELS - RIGHT_MARGIN_PIXELS, y,
				BurnFormat.formatTime(history.get(history.size() - 1).timeMillis())));
	}

	private static void drawLine(List<BurnPoint> history, int windowIndex, double axisMaxRate, StringBuilder svg) {
		for (List<String> segment : splitIntoSegments(history, windowIndex, axisMaxRate)) {
			if (segment.size() == 1) {
				String[] point = segment.get(0).split(",");
				svg.append(String.format("<circle class=\"window%d\" cx=\"%s\" cy=\"%s\" r=\"2.5\"/>%n", windowIndex,
						point[0], point[1]));
			}
			else {
				svg.append(String.format("<polyline class=\"window%d\" points=\"%s\"/>%n", windowIndex,
						String.join(" ", segment)));
			}
		}
	}

	private static List<List<String>> splitIntoSegments(List<BurnPoint> history, int windowIndex, double axisMaxRate) {
		List<List<String>> segments = new ArrayList<>();
		boolean isSegmentOpen = false;
		for (BurnPoint point : history) {
			OptionalDouble rate = point.longWindowRates().get(windowIndex).value();
			if (rate.isPresent() && !isSegmentOpen) {
				segments.add(new ArrayList<>());
			}
			isSegmentOpen = rate.isPresent();
			if (isSegmentOpen) {
				segments.get(segments.size() - 1)
					.add(String.format(Locale.ROOT, "%.1f,%.1f", toX(point.timeMillis(), history),
							toY(rate.getAsDouble(), axisMaxRate)));
			}
		}
		return segments;
	}

	private static boolean hasAnyRate(List<BurnPoint> history) {
		return history.stream()
			.flatMap((point) -> point.longWindowRates().stream())
			.anyMatch((rate) -> rate.value().isPresent());
	}

	private static double findAxisMaxRate(List<BurnPoint> history) {
		double rate = history.stream()
			.flatMap((point) -> point.longWindowRates().stream())
			.flatMapToDouble((burnRate) -> burnRate.value().stream())
			.max()
			.orElse(0);
		return Math.max(MIN_AXIS_MAX_RATE, rate);
	}

	private static double toX(long timeMillis, List<BurnPoint> history) {
		long fromMillis = history.get(0).timeMillis();
		long lengthMillis = Math.max(1, history.get(history.size() - 1).timeMillis() - fromMillis);
		return LEFT_MARGIN_PIXELS + (double) (timeMillis - fromMillis) / lengthMillis
				* (WIDTH_PIXELS - LEFT_MARGIN_PIXELS - RIGHT_MARGIN_PIXELS);
	}

	private static double toY(double rate, double axisMaxRate) {
		double heightShare = Math.log1p(rate) / Math.log1p(axisMaxRate);
		return HEIGHT_PIXELS - BOTTOM_MARGIN_PIXELS
				- heightShare * (HEIGHT_PIXELS - BOTTOM_MARGIN_PIXELS - TOP_MARGIN_PIXELS);
	}

}
