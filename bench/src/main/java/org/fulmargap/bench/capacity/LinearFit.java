package org.fulmargap.bench.capacity;

import java.util.List;

/**
 * Least-squares fit of a line to measured points.
 *
 * @param intercept the value at size zero
 * @param slope the increase of the value per unit of size
 * @param rSquared the coefficient of determination, from 0 to 1
 */
record LinearFit(double intercept, double slope, double rSquared) {

	/**
	 * Fits a line to points.
	 * @param points at least two points, not all of the same size
	 * @return the fitted line
	 * @throws IllegalArgumentException if there are fewer than two points or all have the
	 * same size
	 */
	static LinearFit fit(List<Point> points) {
		if (points.size() < 2) {
			throw new IllegalArgumentException("a fit needs at least two points");
		}
		double meanX = points.stream().mapToDouble(Point::size).average().orElseThrow();
		double meanY = points.stream().mapToDouble(Point::value).average().orElseThrow();
		double sxx = 0;
		double sxy = 0;
		double syy = 0;
		for (Point point : points) {
			double dx = point.size() - meanX;
			double dy = point.value() - meanY;
			sxx += dx * dx;
			sxy += dx * dy;
			syy += dy * dy;
		}
		if (sxx == 0) {
			throw new IllegalArgumentException("all points have the same size");
		}
		double slope = sxy / sxx;
		double rSquared = (syy == 0) ? 1 : sxy * sxy / (sxx * syy);
		return new LinearFit(meanY - slope * meanX, slope, rSquared);
	}

	/**
	 * One measured point.
	 *
	 * @param size the size
	 * @param value the value at this size
	 */
	record Point(double size, double value) {
	}

}
