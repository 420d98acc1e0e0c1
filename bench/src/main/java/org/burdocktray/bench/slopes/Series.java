package org.burdocktray.bench.slopes;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The values of one quantity at several sizes. Printed as a row of a Markdown table, with
 * the line fitted to the values. Thread safety: none.
 */
final class Series {

	private final String quantity;

	private final String unit;

	private final String sizeUnit;

	private final List<LeastSquares.Point> points = new ArrayList<>();

	Series(String quantity, String unit, String sizeUnit) {
		this.quantity = quantity;
		this.unit = unit;
		this.sizeUnit = sizeUnit;
	}

	void add(double size, double value) {
		this.points.add(new LeastSquares.Point(size, value));
	}

	void print(PrintStream out) {
		StringBuilder values = new StringBuilder();
		for (LeastSquares.Point point : this.points) {
			values.append(String.format(Locale.ROOT, "%s: %s; ", format(point.size()), format(point.value())));
		}
		LeastSquares line = LeastSquares.fit(this.points);
		out.printf(Locale.ROOT, "| %s | %s | %s | %s | %s |%n", this.quantity, this.unit, values.toString().strip(),
				format(line.slope()) + " per " + this.sizeUnit, format(line.intercept()));
	}

	static void printHeader(PrintStream out) {
		out.println("| quantity | unit | size: value | slope | intercept |");
		out.println("| --- | --- | --- | --- | --- |");
	}

	static double median(List<Double> values) {
		return values.stream().sorted().toList().get(values.size() / 2);
	}

	private static String format(double value) {
		return (Math.abs(value) >= 100 || value == Math.rint(value)) ? String.format(Locale.ROOT, "%.0f", value)
				: String.format(Locale.ROOT, "%.3g", value);
	}

}
