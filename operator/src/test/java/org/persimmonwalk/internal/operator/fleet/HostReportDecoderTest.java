package org.persimmonwalk.internal.operator.fleet;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.testing.MutatedInput;
import org.persimmonwalk.testing.SmallStack;

class HostReportDecoderTest {
  private static final int TRIES = 10_000;
  private static final String REPORT =
      "{\"host\":\"h1\",\"zone\":\"a\",\"phase\":\"SERVING\",\"revision\":3,"
          + "\"freshnessAgeMilliseconds\":20,\"groups\":[{\"id\":\"g\",\"term\":2,"
          + "\"primary\":\"s1\",\"confirmedAgeMilliseconds\":null}],\"servers\":[{\"id\":\"s1\","
          + "\"group\":\"g\",\"leaving\":false,\"role\":\"PRIMARY\",\"term\":2,"
          + "\"received\":\"0/10\",\"replayed\":\"0/10\",\"sampleAgeMilliseconds\":5,"
          + "\"dataAgeMilliseconds\":null,\"failingMilliseconds\":null}],\"workspaces\":[{"
          + "\"id\":\"w\",\"rate\":10.5,\"burst\":3,\"shareRate\":1,\"demand\":0}]}";

  private final HostReportDecoder decoder = HostReportDecoder.create();

  /** Guards against a null in place of a required text, which is no IllegalArgumentException. */
  @Test
  void shouldRejectAReportWhosePhaseIsNull() {
    String report = REPORT.replace("\"SERVING\"", "null");

    assertThatThrownBy(() -> decoder.decode(report.getBytes(StandardCharsets.UTF_8)))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("phase");
  }

  @Provide
  Arbitrary<byte[]> reports() {
    return MutatedInput.of(List.of(REPORT.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Guards against a host's report that ends the operator's command with an unexpected exception.
   */
  @Property(
      tries = TRIES,
      seed = "1715",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.BOUNDED)
  void shouldDecodeOrRejectAnyReport(@ForAll("reports") byte[] report) {
    SmallStack.run(
        () -> {
          try {
            decoder.decode(report);
          } catch (IOException | IllegalArgumentException e) {
            return; // the documented answers to invalid input
          }
        });
  }
}
