package org.burdocktray.bench.slopes;

import java.util.List;

/**
 * A line fitted to measured points by the method of least squares. Thread safety:
 * immutable.
 *
 * @param slope the increase of the value per unit of size
 * @param intercept the value at size 0
 */
public record LeastSquares(double slope, double intercept) {

	/**
	 * Fits a line to points.
	 * @param points the points, with at least two different sizes
	 * @return the line with the least sum of squared errors
	 */
	public static LeastSquares fit(List<Point> points) {
		double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
		double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
		double squaredDeviations = points.stream().mapToDouble((point) -> square(point.size() - meanSize)).sum();
		if (squaredDeviations == 0) {
			throw new IllegalArgumentException("a line needs two different sizes, got " + points);
		}
		double crossDeviations = points.stream()
			.mapToDouble((point) -> (point.size() - meanSize) * (point.value() - meanValue))
			.sum();
		double slope = crossDeviations / squaredDeviations;
		return new LeastSquares(slope, meanValue - slope * meanSize);
	}

	/**
	 * Computes the value of the line at a size.
	 * @param size the size
	 * @return the value, interpolated or extrapolated
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
	 * @param size the size at which the value was measured
	 * @param value the measured value
	 */
	public record Point(double size, double value) {

	}

}
