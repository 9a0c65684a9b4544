package org.persimmonwalk.bench.capacity;

import java.util.List;

/**
 * A quantity measured at several sizes.
 *
 * @param quantity what was measured, with its unit
 * @param variable the size that was varied, such as hosts
 * @param setting the sizes that were held constant
 * @param points the measurements
 */
record Series(String quantity, String variable, String setting, List<LineFit.Point> points) {

  /** Copies the points. */
  Series {
    points = List.copyOf(points);
  }

  LineFit line() {
    return LineFit.of(points);
  }
}
