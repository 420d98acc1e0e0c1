package org.burdocktray.bench.slopes;

import java.util.List;

/**
 * The line through measured points with the least sum of squared errors. Thread safety:
 * immutable.
 *
 * @param slope the growth for each unit of size
 * @param intercept the value at size 0
 */
public record LeastSquares(double slope, double intercept) {

	/**
	 * Fits a line.
	 * @param points at least two points with two different sizes
	 * @return the line
	 */
	public static LeastSquares fit(List<Point> points) {
		double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
		double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
		double sizeSquares = points.stream().mapToDouble((point) -> square(point.size() - meanSize)).sum();
		if (sizeSquares == 0) {
			throw new IllegalArgumentException("a line needs two different sizes, got " + points);
		}
		double products = points.stream()
			.mapToDouble((point) -> (point.size() - meanSize) * (point.value() - meanValue))
			.sum();
		double slope = products / sizeSquares;
		return new LeastSquares(slope, meanValue - slope * meanSize);
	}

	/**
	 * Works out the value at a size.
	 * @param size the size
	 * @return the value of the line
	 */
	public double valueAt(double size) {
		return this.intercept + this.slope * size;
	}

	private static double square(double value) {
		return value * value;
	}

	/**
	 * One measured value. Thread safety: immutable.
	 *
	 * @param size the size it was measured at
	 * @param value the value
	 */
	public record Point(double size, double value) {

	}

}
