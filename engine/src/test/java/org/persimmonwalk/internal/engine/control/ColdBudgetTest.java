package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.ColdBudget;
import org.persimmonwalk.model.MonotonicTime;

class ColdBudgetTest {
  private static MonotonicTime at(long millis) {
    return MonotonicTime.of(millis * 1_000_000);
  }

  private static boolean maySend(
      Optional<MonotonicTime> since, Optional<MonotonicTime> verified, long resumed, long now) {
    return new ColdBudget.Role(since, verified, at(resumed)).maySend(at(now));
  }

  /** Guards against two relays of a zone whose requests fall into the same second. */
  @Test
  void shouldWaitUntilTheRequestsOfTheRelayBeforeHaveLeftTheWindow() {
    assertThat(maySend(Optional.of(at(0)), Optional.of(at(4000)), 0, 4290)).isFalse();
    assertThat(maySend(Optional.of(at(0)), Optional.of(at(4000)), 0, 4300)).isTrue();
  }

  /** Guards against a relay that is cut off from the store while another one takes its role. */
  @Test
  void shouldNotSendWithAnOldVerification() {
    assertThat(maySend(Optional.of(at(0)), Optional.of(at(5000)), 0, 7999)).isTrue();
    assertThat(maySend(Optional.of(at(0)), Optional.of(at(5000)), 0, 8000)).isFalse();
    assertThat(maySend(Optional.of(at(0)), Optional.empty(), 0, 8000)).isFalse();
  }

  /** Guards against a relay that resumes after a pause, during which its clock stood still. */
  @Test
  void shouldNotSendAfterAPauseUntilVerifiedAgain() {
    assertThat(maySend(Optional.of(at(0)), Optional.of(at(5000)), 5500, 6000)).isFalse();
    assertThat(maySend(Optional.of(at(0)), Optional.of(at(5600)), 5500, 6000)).isTrue();
  }

  /** Guards against a host that knows nothing of its role, and one that is not the relay. */
  @Test
  void shouldNotSendUnlessThisHostIsTheRelay() {
    assertThat(maySend(Optional.empty(), Optional.of(at(5000)), 0, 6000)).isFalse();
    assertThat(maySend(Optional.empty(), Optional.empty(), 0, 6000)).isFalse();
  }

  /** Guards against callers that leave a promotion nothing to ask a cold server with. */
  @Test
  void shouldKeepAPartForStatusRequests() {
    assertThat(ColdBudget.forStatements(6)).isEqualTo(4);
    assertThat(ColdBudget.forStatements(3)).isEqualTo(2);
    assertThat(ColdBudget.forStatements(1)).isEqualTo(1);
    assertThat(ColdBudget.forStatements(0)).isZero();
  }
}
