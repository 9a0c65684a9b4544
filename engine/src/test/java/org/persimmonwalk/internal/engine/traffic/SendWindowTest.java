package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.model.MonotonicTime;

class SendWindowTest {
  private static MonotonicTime at(long millis) {
    return MonotonicTime.of(millis * 1_000_000);
  }

  /** Guards against a window that starts anew each second and admits two parts around its start. */
  @Test
  void shouldAdmitNoMoreThanTheLimitInAnySecond() {
    SendWindow window = new SendWindow(Duration.ofSeconds(1));

    assertThat(window.tryAdd(2, at(900))).isTrue();
    assertThat(window.tryAdd(2, at(990))).isTrue();
    assertThat(window.tryAdd(2, at(1010))).isFalse();
    assertThat(window.tryAdd(2, at(1900))).isFalse();
    assertThat(window.tryAdd(2, at(1901))).isTrue();
    assertThat(window.tryAdd(2, at(1902))).isFalse();
  }

  @Test
  void shouldAdmitNothingWithoutAPart() {
    assertThat(new SendWindow(Duration.ofSeconds(1)).tryAdd(0, at(0))).isFalse();
  }
}
