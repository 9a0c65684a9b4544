package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.ServerOrder;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;

class ServerOrderTest {
  private static final int SERVERS = 4;
  private static final int HOSTS = 400;

  private static List<ServerEntry> entries() {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      entries.add(EngineFixture.server("s" + i, i == 0));
    }
    return entries;
  }

  private static Map<BackendServerId, ServerEntry> byId(List<ServerEntry> entries) {
    Map<BackendServerId, ServerEntry> servers = new LinkedHashMap<>();
    entries.forEach(entry -> servers.put(entry.id(), entry));
    return servers;
  }

  /** Guards against a host whose choices depend on how its list of servers came about. */
  @Test
  void shouldNotDependOnTheOrderOfTheList() {
    ServerOrder order = ServerOrder.of(EntryHostId.of("host1"));
    List<BackendServerId> expected = List.copyOf(order.sort(byId(entries())).keySet());

    for (int seed = 0; seed < 20; seed++) {
      List<ServerEntry> shuffled = entries();
      Collections.shuffle(shuffled, new Random(seed));

      assertThat(order.sort(byId(shuffled)).keySet()).containsExactlyElementsOf(expected);
    }
  }

  /** Guards against hosts that all send their first read to the same server. */
  @Test
  void shouldPutEachServerFirstAtAboutAsManyHosts() {
    Map<BackendServerId, Integer> first = new HashMap<>();
    for (int host = 0; host < HOSTS; host++) {
      ServerOrder order = ServerOrder.of(EntryHostId.of("host" + host));
      first.merge(order.sort(byId(entries())).keySet().iterator().next(), 1, Integer::sum);
    }

    assertThat(first).hasSize(SERVERS);
    assertThat(first.values())
        .allMatch(count -> count > HOSTS / SERVERS / 2 && count < HOSTS / SERVERS * 2);
  }

  /** Guards against a published list in an order that differs between processes. */
  @Test
  void shouldPublishTheServersInTheOrderOfTheHost() {
    EngineFixture fixture = new EngineFixture(3);

    for (Engine host : fixture.hosts) {
      Map<BackendServerId, ServerEntry> servers = fixture.entry(host, EngineEntries.SERVERS);
      EntryHostId id = EntryHostId.of("host" + fixture.hosts.indexOf(host));

      assertThat(servers.keySet())
          .hasSize(3)
          .containsExactlyElementsOf(ServerOrder.of(id).sort(servers).keySet());
    }
  }
}
