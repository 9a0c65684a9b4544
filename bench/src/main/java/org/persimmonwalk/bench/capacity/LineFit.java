package org.persimmonwalk.bench.capacity;

import java.util.List;

/**
 * A line fitted to points by least squares.
 *
 * @param intercept the value at x = 0
 * @param slope the change of the value per unit of x
 * @param residual the root mean square of the vertical distances of the points from the line
 */
record LineFit(double intercept, double slope, double residual) {

  /** A value y measured at x. */
  record Point(double x, double y) {}

  /**
   * Returns the line that fits the points best.
   *
   * @throws IllegalArgumentException if there are no two points with different x
   */
  static LineFit of(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
    double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
    double sumOfSquaresX = 0;
    double sumOfProducts = 0;
    for (Point point : points) {
      sumOfSquaresX += (point.x() - meanX) * (point.x() - meanX);
      sumOfProducts += (point.x() - meanX) * (point.y() - meanY);
    }
    if (!(sumOfSquaresX > 0)) {
      throw new IllegalArgumentException(
          "a line needs two points with different x, but the points are " + points);
    }
    double slope = sumOfProducts / sumOfSquaresX;
    double intercept = meanY - slope * meanX;
    double sumOfSquaredResiduals = 0;
    for (Point point : points) {
      double verticalDistance = point.y() - intercept - slope * point.x();
      sumOfSquaredResiduals += verticalDistance * verticalDistance;
    }
    return new LineFit(intercept, slope, Math.sqrt(sumOfSquaredResiduals / points.size()));
  }

  /** Returns the value of the line at x. */
  double valueAt(double x) {
    return intercept + slope * x;
  }
}
