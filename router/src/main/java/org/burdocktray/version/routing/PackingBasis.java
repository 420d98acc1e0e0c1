package org.burdocktray.version.routing;

/**
 * The basis of the revised simplex method for a packing linear program: maximise the
 * objective over non-negative variables, one per column, while each row's sum of
 * coefficients times variables is at most 1. Columns are added one by one. The initial
 * basis consists of the slack columns. Invariant: the values of the basic variables are a
 * feasible solution. Thread safety: none.
 */
final class PackingBasis {

	private static final double PIVOT_TOLERANCE = 1e-9;

	/** Perturbation of the right-hand sides, prevents cycling at degenerate vertices. */
	private static final double PERTURBATION = 1e-7;

	private final int rows;

	private final double[][] inverse;

	private final double[] values;

	private final double[] objectives;

	private final int[] columns;

	/**
	 * Creates the basis of the slack columns.
	 * @param rows the number of rows
	 */
	PackingBasis(int rows) {
		this.rows = rows;
		this.inverse = new double[rows][rows];
		this.values = new double[rows];
		this.objectives = new double[rows];
		this.columns = new int[rows];
		for (int row = 0; row < rows; row++) {
			this.inverse[row][row] = 1;
			this.values[row] = 1 - PERTURBATION * (row + 1) / rows;
			this.columns[row] = slackColumn(row);
		}
	}

	static int slackColumn(int row) {
		return -1 - row;
	}

	/**
	 * Returns the dual price of each row: the increase of the objective per unit of its
	 * right-hand side.
	 * @return the prices by row; if one is negative, the row's slack column improves the
	 * objective
	 */
	double[] prices() {
		double[] prices = new double[this.rows];
		for (int position = 0; position < this.rows; position++) {
			if (this.objectives[position] == 0) {
				continue;
			}
			for (int row = 0; row < this.rows; row++) {
				prices[row] += this.objectives[position] * this.inverse[position][row];
			}
		}
		return prices;
	}

	/**
	 * Enters a column into the basis.
	 * @param column the index of the column, see {@link #slackColumn} for slack columns
	 * @param objective the objective coefficient of the column
	 * @param coefficients the coefficients of the column by row
	 * @return false if no row limits the column
	 */
	boolean enter(int column, double objective, double[] coefficients) {
		double[] direction = multiply(coefficients);
		int leaving = leavingPosition(direction);
		if (leaving < 0) {
			return false;
		}
		double step = this.values[leaving] / direction[leaving];
		double[] pivotRow = this.inverse[leaving];
		for (int row = 0; row < this.rows; row++) {
			pivotRow[row] /= direction[leaving];
		}
		for (int position = 0; position < this.rows; position++) {
			if (position == leaving || direction[position] == 0) {
				continue;
			}
			this.values[position] = Math.max(0, this.values[position] - step * direction[position]);
			subtract(this.inverse[position], pivotRow, direction[position]);
		}
		this.values[leaving] = step;
		this.objectives[leaving] = objective;
		this.columns[leaving] = column;
		return true;
	}

	/**
	 * Returns the values of the variables.
	 * @param count the number of columns without slack columns
	 * @return the value of each variable, by column
	 */
	double[] values(int count) {
		double[] result = new double[count];
		for (int position = 0; position < this.rows; position++) {
			if (this.columns[position] >= 0) {
				result[this.columns[position]] = this.values[position];
			}
		}
		return result;
	}

	private double[] multiply(double[] coefficients) {
		double[] product = new double[this.rows];
		for (int row = 0; row < this.rows; row++) {
			if (coefficients[row] == 0) {
				continue;
			}
			for (int position = 0; position < this.rows; position++) {
				product[position] += this.inverse[position][row] * coefficients[row];
			}
		}
		return product;
	}

	private int leavingPosition(double[] direction) {
		int leaving = -1;
		for (int position = 0; position < this.rows; position++) {
			if (direction[position] <= PIVOT_TOLERANCE) {
				continue;
			}
			if (leaving < 0
					|| this.values[position] * direction[leaving] < this.values[leaving] * direction[position]) {
				leaving = position;
			}
		}
		return leaving;
	}

	private static void subtract(double[] target, double[] source, double factor) {
		for (int i = 0; i < target.length; i++) {
			target[i] -= factor * source[i];
		}
	}

}
