package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;

class KeptConnectionsTest {
  private static final int SERVERS = 18;

  /** Guards against kept connections that shut out the hosts which keep none. */
  @ParameterizedTest
  @CsvSource({"94, 70", "95, 54", "142, 70", "142, 124"})
  void shouldLeaveConnectionsOfEachServerFree(int hosts, int accepted) {
    for (int server = 0; server < SERVERS; server++) {
      BackendServerId id = BackendServerId.of("s" + server);
      long kept =
          IntStream.range(0, hosts)
              .filter(
                  host ->
                      KeptConnections.mayKeep(EntryHostId.of("host" + host), id, accepted, hosts))
              .count();

      assertThat(kept).isBetween(Math.round(accepted * 0.3), Math.round(accepted * 0.85));
    }
  }
}
