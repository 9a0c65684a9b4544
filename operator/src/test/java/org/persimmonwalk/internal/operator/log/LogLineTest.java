package org.persimmonwalk.internal.operator.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LogLineTest {

  /** Guards against a line of a request that is left out because of a byte of a caller's text. */
  @Test
  void shouldReadLinesWithAnyTextOfACaller() {
    assertThat(
            LogLine.parse(
                "h1", "22:00:00.000 INFO event=statement-failed request=a\u0085b code=FAILED"))
        .hasValueSatisfying(line -> assertThat(line.field("code")).contains("FAILED"));
  }
}
