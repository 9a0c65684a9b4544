package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.control.ColdBounds;

class ColdBoundsTest {
  private static final ColdBounds BOUNDS = new ColdBounds(1.5, 5);

  /** Guards against parts that add up to more than the bound, as rounding up would cause. */
  @Test
  void shouldSplitTheBoundOverTheZonesWithoutExceedingIt() {
    for (int rate = 0; rate <= 40; rate++) {
      GroupSettings group = new GroupSettings(54, 0, rate, Duration.ofSeconds(20));
      for (int zones = 1; zones <= 7; zones++) {
        int sum = BOUNDS.zonePart(group, zones) * zones;

        assertThat(sum).isLessThanOrEqualTo((int) Math.floor(rate * 1.5 + 5));
        assertThat(sum).isGreaterThan((int) Math.floor(rate * 1.5 + 5) - zones);
      }
    }
  }
}
