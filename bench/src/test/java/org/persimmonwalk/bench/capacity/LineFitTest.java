package org.persimmonwalk.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a wrong line, which would make every extrapolated capacity wrong. */
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
  void shouldReturnResidualOfPointsOffTheLine() {
    LineFit line = LineFit.of(List.of(point(0, 1), point(0, -1), point(2, 1), point(2, -1)));
    assertThat(line.slope()).isCloseTo(0, within(TOLERANCE));
    assertThat(line.residual()).isCloseTo(1, within(TOLERANCE));
  }

  @Test
  void shouldRefusePointsWithSameX() {
    assertThatThrownBy(() -> LineFit.of(List.of(point(1, 5), point(1, 6))))
        .isInstanceOf(IllegalArgumentException.class);
  }

  private static LineFit.Point point(double x, double y) {
    return new LineFit.Point(x, y);
  }
}
