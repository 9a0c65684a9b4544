package org.persimmonwalk.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the limits suit the machines in use. */
class HostLimitsTest {
  private static final long MEGABYTE = 1L << 20;

  /** Guards against limits that the fleets in use meet: some hundred callers, 142 hosts. */
  @ParameterizedTest
  @CsvSource({"282,2118", "682,11180", "160,2118"})
  void shouldLeaveRoomForTheFleetsInUse(long megabytes, int descriptors) {
    HostLimits limits = HostLimits.of(48 * MEGABYTE, megabytes * MEGABYTE, descriptors);

    assertThat(limits.trafficBytes()).isEqualTo(16 * MEGABYTE);
    assertThat(limits.callerConnections()).isGreaterThanOrEqualTo(900);
    assertThat(limits.peerConnections()).isGreaterThan(300);
    assertThat(limits.statusConnections()).isGreaterThan(70);
    int ports =
        limits.callerConnections() + limits.peerConnections() + 2 * limits.statusConnections();
    // 18 servers accept up to 124 connections each from all hosts together.
    assertThat(descriptors - 200 - ports).isGreaterThan(400);
  }

  /** Guards against a deployment without limits in its settings that is limited all the same. */
  @Test
  void shouldNotLimitConnectionsOfAnUnknownMachine() {
    HostLimits limits = HostLimits.of(48 * MEGABYTE, 0, 0);

    assertThat(limits.callerConnections()).isGreaterThan(1_000_000);
    assertThat(limits.trafficBytes()).isEqualTo(16 * MEGABYTE);
  }

  /** Guards against a budget of nothing on a machine that is too small. */
  @Test
  void shouldServeOneLongMessageOnASmallMachine() {
    HostLimits limits = HostLimits.of(24 * MEGABYTE, 64 * MEGABYTE, 150);

    assertThat(limits.trafficBytes()).isEqualTo(4 * MEGABYTE);
    assertThat(limits.callerConnections()).isEqualTo(1);
  }
}
