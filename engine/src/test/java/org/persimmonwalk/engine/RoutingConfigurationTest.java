package org.persimmonwalk.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.DatabaseGroupId;

class RoutingConfigurationTest {
  /**
   * Guards against groups that controllers go through in an order that differs between processes.
   */
  @Test
  void shouldSortTheGroups() {
    List<DatabaseGroupId> sorted = new ArrayList<>();
    for (char name = 'a'; name <= 'k'; name++) {
      sorted.add(DatabaseGroupId.of(String.valueOf(name)));
    }
    List<DatabaseGroupId> reversed = new ArrayList<>(sorted);
    Collections.reverse(reversed);
    Map<DatabaseGroupId, GroupSettings> groups = new LinkedHashMap<>();
    reversed.forEach(group -> groups.put(group, new GroupSettings(54, 0)));

    RoutingConfiguration configuration =
        new RoutingConfiguration(1, Map.of(), groups, Map.of(), Map.of(), Duration.ofSeconds(3));

    assertThat(configuration.groups().keySet()).containsExactlyElementsOf(sorted);
  }
}
