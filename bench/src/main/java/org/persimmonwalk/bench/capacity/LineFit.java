package org.persimmonwalk.bench.capacity;

import java.util.List;

/**
 * A line fitted to points by least squares.
 *
 * @param intercept the value at 0
 * @param slope the rise per unit
 * @param residual the root of the mean squared distance of the points from the line
 */
record LineFit(double intercept, double slope, double residual) {

  /** A measured point. */
  record Point(double at, double value) {}

  /**
   * Returns the line through the points.
   *
   * @throws IllegalArgumentException if there are not two points at different places
   */
  static LineFit of(List<Point> points) {
    double meanAt = points.stream().mapToDouble(Point::at).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double spread = 0;
    double common = 0;
    for (Point point : points) {
      spread += (point.at() - meanAt) * (point.at() - meanAt);
      common += (point.at() - meanAt) * (point.value() - meanValue);
    }
    if (!(spread > 0)) {
      throw new IllegalArgumentException("a line needs two points at different places");
    }
    double slope = common / spread;
    double intercept = meanValue - slope * meanAt;
    double squares = 0;
    for (Point point : points) {
      double distance = point.value() - intercept - slope * point.at();
      squares += distance * distance;
    }
    return new LineFit(intercept, slope, Math.sqrt(squares / points.size()));
  }

  /** Returns the value of the line. */
  double valueAt(double at) {
    return intercept + slope * at;
  }
}
