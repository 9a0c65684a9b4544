package org.persimmonwalk.internal.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.testing.MutatedInput;
import org.persimmonwalk.testing.SmallStack;

class PlatformFormatTest {
  private static final int TRIES = 10_000;
  private static final String HOST =
      "{\"id\":\"h1\",\"zone\":\"a\",\"peerEndpoint\":\"10.0.0.1:7433\",\"state\":\"live\"}";

  private final PlatformFormat format = PlatformFormat.create();

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Guards against losing the whole list of hosts for one entry that is invalid. */
  @Test
  void shouldSkipInvalidHosts() {
    String list =
        "["
            + String.join(
                ",",
                HOST.replace("h1", "h0").replace("7433", "99999"),
                "17",
                "[".repeat(500) + "]".repeat(500),
                HOST,
                HOST.replace("live", "asleep"))
            + "]";

    assertThat(format.hosts(bytes(list)))
        .extracting(host -> host.id().value())
        .containsExactly("h1");
  }

  @Provide
  Arbitrary<byte[]> documents() {
    return MutatedInput.of(List.of(bytes("[" + HOST + "]"), bytes("{\"version\":7}")));
  }

  /** Guards against responses that end a caller with an exception that nothing handles. */
  @Property(
      tries = TRIES,
      seed = "1714",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.BOUNDED)
  void shouldReadOrRejectAnyResponse(@ForAll("documents") byte[] document) {
    SmallStack.run(
        () -> {
          accept(() -> format.hosts(document));
          accept(() -> format.version(document));
        });
  }

  private static void accept(Runnable decoder) {
    try {
      decoder.run();
    } catch (PersimmonwalkException e) {
      assertThat(e.code()).isEqualTo(ResultCode.PLATFORM_ANSWER_INVALID);
    }
  }
}
