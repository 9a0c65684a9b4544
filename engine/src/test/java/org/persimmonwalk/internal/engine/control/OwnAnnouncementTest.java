package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.control.PromotionScenario.PRIMARY;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Guards against hosts that mistake whose announcement is in the leadership row: the host that
 * announced a replacement runs it, the others wait in case that host has died.
 */
class OwnAnnouncementTest {
  /** Several control rounds run before the answer to an announcement arrives. */
  private static final Duration ANSWER_DELAY = Duration.ofMillis(200);

  private final PromotionScenario scenario = new PromotionScenario();
  private final EngineFixture fixture = scenario.fixture;

  OwnAnnouncementTest() {
    fixture.link.answerDelay = () -> ANSWER_DELAY;
  }

  /** Guards against a longer gap in writes: all announcing hosts waited as if one had died. */
  @Test
  void shouldReplaceADrainingPrimaryWithoutTheTakeoverDelay() {
    scenario.setDraining(PRIMARY);
    scenario.runUntilAnnounced(Leadership.Phase.SWITCHING);
    MonotonicTime announcedAt = fixture.clock.now();

    scenario.runUntilPromotions(1);

    Duration switchDelay =
        EngineTimings.VERIFICATION_VALIDITY.plus(EngineTimings.CLOCK_MARGIN.multipliedBy(2));
    assertThat(fixture.clock.now().since(announcedAt))
        .isLessThan(switchDelay.plus(PromotionController.TAKEOVER_DELAY));
  }

  /** Guards against the same after the loss of the primary. */
  @Test
  void shouldReplaceAnUnreachablePrimaryWithoutTheTakeoverDelay() {
    scenario.reportUnreachable(4);
    scenario.runUntilAnnounced(Leadership.Phase.MOVING);
    MonotonicTime announcedAt = fixture.clock.now();

    scenario.runUntilPromotions(1);

    Duration notice = EngineTimings.VERIFICATION_VALIDITY.plus(EngineTimings.CLOCK_MARGIN);
    assertThat(fixture.clock.now().since(announcedAt))
        .isLessThan(notice.plus(PromotionController.TAKEOVER_DELAY));
  }

  /** Guards against calls from all hosts at once, for a lease that only one of them can hold. */
  @Test
  void shouldBeginTheReplacementOnOneHostIfSeveralAnnounceIt() {
    scenario.setDraining(PRIMARY);

    scenario.runUntilPromotions(1);

    assertThat(eventsNamed("primary-replacement-announced")).isGreaterThan(1);
    assertThat(eventsNamed("promotion-started")).isEqualTo(1);
  }

  private long eventsNamed(String name) {
    return fixture.events.stream().filter(event -> event.startsWith(name)).count();
  }
}
