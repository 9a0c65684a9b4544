package org.persimmonwalk.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A wrong slope would make every extrapolation of the capacity page wrong. */
class LineFitTest {
  private static final double TOLERANCE = 1e-9;

  @Test
  void shouldFitPointsOfLineExactly() {
    LineFit line = LineFit.of(List.of(point(1, 5), point(2, 7), point(5, 13)));
    assertThat(line.intercept()).isCloseTo(3, within(TOLERANCE));
    assertThat(line.slope()).isCloseTo(2, within(TOLERANCE));
    assertThat(line.residual()).isCloseTo(0, within(TOLERANCE));
    assertThat(line.valueAt(430)).isCloseTo(863, within(TOLERANCE));
  }

  @Test
  void shouldStateDistanceOfPointsFromLine() {
    LineFit line = LineFit.of(List.of(point(0, 1), point(0, -1), point(2, 1), point(2, -1)));
    assertThat(line.slope()).isCloseTo(0, within(TOLERANCE));
    assertThat(line.residual()).isCloseTo(1, within(TOLERANCE));
  }

  @Test
  void shouldRefusePointsAtOnePlace() {
    assertThatThrownBy(() -> LineFit.of(List.of(point(1, 5), point(1, 6))))
        .isInstanceOf(IllegalArgumentException.class);
  }

  private static LineFit.Point point(double at, double value) {
    return new LineFit.Point(at, value);
  }
}
