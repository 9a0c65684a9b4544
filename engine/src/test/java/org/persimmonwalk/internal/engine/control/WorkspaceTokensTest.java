package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

class WorkspaceTokensTest {
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("oil");
  private static final MonotonicTime START = MonotonicTime.of(0);

  private final WorkspaceTokens tokens = new WorkspaceTokens(START);

  private static MonotonicTime at(long millis) {
    return START.plus(Duration.ofMillis(millis));
  }

  private static TokenLoan loan(long count, boolean renews, long validMillis) {
    return new TokenLoan(WORKSPACE, count, false, renews, Duration.ofMillis(validMillis));
  }

  /**
   * Guards against tokens that are spent after they have expired: the late reply of a slow lender
   * must not renew tokens that another lender granted meanwhile.
   */
  @Test
  void shouldNotRenewTokensThatAnotherLenderGrantedSinceTheRequest() {
    tokens.grant(loan(2, true, 300), at(120), at(125));
    tokens.grant(loan(0, true, 1200), at(10), at(180));

    assertThat(tokens.toGrant().validUntil()).isEqualTo(at(420));
  }

  /** Guards against tokens that expire although their lender has renewed them. */
  @Test
  void shouldRenewTheTokensThatTheLenderKnows() {
    tokens.grant(loan(2, true, 300), at(120), at(125));
    tokens.grant(loan(0, true, 1200), at(200), at(205));

    assertThat(tokens.toGrant().validUntil()).isEqualTo(at(1400));
  }
}
