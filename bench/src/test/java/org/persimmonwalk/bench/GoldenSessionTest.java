package org.persimmonwalk.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.SQLException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against unintended changes of answers and routing decisions. */
class GoldenSessionTest {
  private static final Path SESSIONS = Path.of("src/test/resources/sessions");

  @ParameterizedTest
  @ValueSource(strings = {"own-writes", "transactions", "errors", "idempotency"})
  void shouldReproduceAnswersAndDecisionsOfFile(String name)
      throws IOException, SQLException, InterruptedException {
    Path file = SESSIONS.resolve(name + ".session");
    try (SessionTranscript transcript = SessionTranscript.create()) {
      assertThat(transcript.run(Files.readAllLines(file)))
          .containsExactlyElementsOf(Files.readAllLines(file));
    }
  }
}
