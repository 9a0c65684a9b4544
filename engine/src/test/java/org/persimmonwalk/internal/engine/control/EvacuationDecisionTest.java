package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.MonotonicTime;

/** Guards against servers of an evacuated zone that are used for too long, or not long enough. */
class EvacuationDecisionTest {
  private static final AvailabilityZone ZONE = AvailabilityZone.of("a");
  private static final AvailabilityZone OTHER = AvailabilityZone.of("b");

  private final EvacuationDecision decision = EvacuationDecision.within(Duration.ofMillis(5000));

  private static MonotonicTime at(long millis) {
    return MonotonicTime.of(millis * 1_000_000);
  }

  @Test
  void shouldCountTheBoundFromTheLastVerificationWithoutTheRow() {
    decision.notRequested(ZONE, at(100), true);
    decision.notRequested(ZONE, at(1100), true);
    decision.requested(ZONE, at(2150));
    decision.requested(ZONE, at(3150));

    assertThat(decision.deadlines()).containsOnlyKeys(ZONE).containsEntry(ZONE, at(5600));
  }

  /** Guards against a host that starts during an evacuation and uses the zone once more. */
  @Test
  void shouldNotUseAZoneWhoseRowWasNeverSeenMissing() {
    decision.requested(ZONE, at(2000));

    assertThat(decision.deadlines()).containsEntry(ZONE, at(2000));
  }

  @Test
  void shouldKeepTwoZonesApart() {
    decision.notRequested(ZONE, at(100), true);
    decision.notRequested(OTHER, at(100), true);
    decision.requested(ZONE, at(1100));
    decision.notRequested(OTHER, at(1100), true);
    decision.requested(OTHER, at(2100));
    assertThat(decision.deadlines()).containsEntry(ZONE, at(4600)).containsEntry(OTHER, at(5600));

    decision.notRequested(ZONE, at(3100), true);

    assertThat(decision.deadlines()).containsOnlyKeys(OTHER);
  }

  /** Guards against a second evacuation that is measured from before the first one. */
  @Test
  void shouldCountASecondEvacuationFromTheEndOfTheFirst() {
    decision.notRequested(ZONE, at(100), true);
    decision.requested(ZONE, at(1100));
    decision.notRequested(ZONE, at(9100), true);
    decision.requested(ZONE, at(10_100));

    assertThat(decision.deadlines()).containsEntry(ZONE, at(13_600));
  }

  /** Guards against an evacuation that ends because the store came back without its row. */
  @Test
  void shouldKeepAnEvacuationWhileTheStoreMayHaveLostItsRow() {
    decision.notRequested(ZONE, at(100), true);
    decision.requested(ZONE, at(1100));

    decision.notRequested(ZONE, at(3100), false);

    assertThat(decision.deadlines()).containsEntry(ZONE, at(4600));
  }

  /** Guards against a deadline that a suspended host reaches too late: its clock stood still. */
  @Test
  void shouldEndTheUseOfTheZoneWhenTheHostResumes() {
    decision.notRequested(ZONE, at(100), true);
    decision.requested(ZONE, at(1100));

    decision.resumed(at(1500));

    assertThat(decision.deadlines()).containsEntry(ZONE, at(1500));
  }

  /** Guards against a bound that counts from a verification before a suspension. */
  @Test
  void shouldNotCountFromAVerificationBeforeASuspension() {
    decision.notRequested(ZONE, at(100), true);
    decision.resumed(at(1500));

    decision.requested(ZONE, at(1600));

    assertThat(decision.deadlines()).containsEntry(ZONE, at(1600));
  }
}
