package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.WorkspaceId;

class LenderChoiceTest {
  private static final int ZONES = 5;
  private static final int FLEET = 95;
  private static final int WORKSPACES = 500;
  private static final RateLimit SMALL = new RateLimit(6, 6);
  private static final RateLimit LARGE = new RateLimit(200, 200);

  private static EngineSettings host(int number) {
    return EngineSettingsFixture.of(number, ZONES, EngineSettingsFixture.USUAL_BOUNDS);
  }

  /** Guards against hosts that ask different lenders, whose writes of the rate row conflict. */
  @Test
  void shouldChooseTheSameLenderAtAllHostsForASmallWorkspace() {
    for (int workspace = 0; workspace < WORKSPACES; workspace++) {
      Set<AvailabilityZone> lenders = new HashSet<>();
      for (int number = 0; number < ZONES; number++) {
        lenders.add(
            LenderChoice.order(WorkspaceId.of("w" + workspace), SMALL, host(number), FLEET).get(0));
      }

      assertThat(lenders).hasSize(1);
    }
  }

  /** Guards against a zone whose relay lends for most workspaces. */
  @Test
  void shouldSpreadSmallWorkspacesOverTheZones() {
    Map<AvailabilityZone, Integer> counts = new HashMap<>();
    for (int workspace = 0; workspace < WORKSPACES; workspace++) {
      counts.merge(
          LenderChoice.order(WorkspaceId.of("w" + workspace), SMALL, host(0), FLEET).get(0),
          1,
          Integer::sum);
    }

    assertThat(counts).hasSize(ZONES);
    assertThat(counts.values())
        .allSatisfy(count -> assertThat(count).isBetween(WORKSPACES / 8, WORKSPACES / 3));
  }

  /** Guards against operations of a large workspace that need a message to another zone. */
  @Test
  void shouldLendALargeWorkspaceInEachZone() {
    for (int number = 0; number < ZONES; number++) {
      List<AvailabilityZone> order =
          LenderChoice.order(WorkspaceId.of("large"), LARGE, host(number), FLEET);

      assertThat(order.get(0)).isEqualTo(host(number).zone());
      assertThat(order).hasSize(ZONES).doesNotHaveDuplicates();
    }
  }

  /** Guards against tokens that idle at hosts without operations, which outnumber them. */
  @Test
  void shouldHoldTokensInAdvanceOnlyIfThereAreEnoughForAllHosts() {
    assertThat(LenderChoice.isLarge(LARGE, host(0), FLEET)).isTrue();
    assertThat(LenderChoice.isLarge(SMALL, host(0), FLEET)).isFalse();
    assertThat(LenderChoice.isLarge(LARGE, host(0), 0)).isFalse();
  }

  /** Guards against a few tokens that many lenders divide and whose row they all write. */
  @Test
  void shouldHaveOneLenderIfTheZonesOutnumberTheTokens() {
    assertThat(LenderChoice.isLarge(SMALL, host(0), 18)).isFalse();
    assertThat(LenderChoice.isLarge(LARGE, host(0), 18)).isTrue();
  }
}
