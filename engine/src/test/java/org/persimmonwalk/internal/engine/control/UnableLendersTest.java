package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.SendTokenRequests;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.SocketEndpoint;

/** Tests which lenders are left out for a workspace of which they have no token. */
class UnableLendersTest {
  private static final WorkspaceId OIL = WorkspaceId.of("oil");
  private static final WorkspaceId GAS = WorkspaceId.of("gas");
  private static final RelayHost LENDER =
      new RelayHost(EntryHostId.of("host1"), SocketEndpoint.of("127.0.0.1", 7000));
  private static final MonotonicTime NOW = MonotonicTime.of(0);

  private final UnableLenders unable = new UnableLenders();

  private void reply(boolean lends, long oil, long gas) {
    unable.record(
        new TokenRequestsEnded(
            new SendTokenRequests(LENDER, LENDER.host(), List.of(), List.of()),
            Optional.of(new TokenReply(lends, List.of(loan(OIL, oil), loan(GAS, gas)))),
            NOW,
            NOW),
        NOW);
  }

  private static TokenLoan loan(WorkspaceId workspace, long tokens) {
    return new TokenLoan(workspace, tokens, false, true, Duration.ofSeconds(1));
  }

  /** Guards against a lender without tokens of one workspace that is left out for all others. */
  @Test
  void shouldLeaveOutALenderForTheWorkspaceThatItHasNoTokenOf() {
    reply(false, 0, 3);

    assertThat(unable.contains(OIL, LENDER, NOW)).isTrue();
    assertThat(unable.contains(GAS, LENDER, NOW)).isFalse();
  }

  /** Guards against a lender whose pool is refilled and that is asked no more. */
  @Test
  void shouldAskTheLenderAgain() {
    reply(false, 0, 3);

    assertThat(unable.contains(OIL, LENDER, NOW.plus(Duration.ofMillis(300)))).isFalse();
  }

  /** Guards against leaving out a lender that takes tokens from the store for the next request. */
  @Test
  void shouldNotLeaveOutALenderThatReachesTheStore() {
    reply(true, 0, 3);

    assertThat(unable.contains(OIL, LENDER, NOW)).isFalse();
  }
}
