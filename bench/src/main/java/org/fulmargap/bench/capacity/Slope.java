package org.fulmargap.bench.capacity;

import java.util.List;

/**
 * Least-squares line through measured points.
 *
 * @param intercept the value at size zero
 * @param perUnit the growth per unit of size
 * @param rSquared the share of the variance that the line explains, from 0 to 1
 */
record Slope(double intercept, double perUnit, double rSquared) {

	/**
	 * Fits a line.
	 * @param points at least two points with different sizes
	 * @return the line
	 */
	static Slope fit(List<Point> points) {
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
		double perUnit = sxy / sxx;
		double rSquared = (syy == 0) ? 1 : sxy * sxy / (sxx * syy);
		return new Slope(meanY - perUnit * meanX, perUnit, rSquared);
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
