package org.persimmonwalk.engine.control;

import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;

/**
 * The order in which a host goes through the backend servers. Of servers that are equally good a
 * decision takes the first, so the order is that of a hash of host and server: it is the same in
 * every process of a host, but differs between hosts, which would otherwise all take the same
 * server. Servers with equal hashes are in the order of their ids.
 */
public final class ServerOrder {
  private final Comparator<BackendServerId> comparator;

  private ServerOrder(EntryHostId host) {
    this.comparator =
        Comparator.comparingInt((BackendServerId server) -> HostServerHash.of(host, server))
            .thenComparing(Comparator.naturalOrder());
  }

  /** Returns the order of a host. */
  public static ServerOrder of(EntryHostId host) {
    return new ServerOrder(host);
  }

  /** Returns an immutable copy in this order. */
  public Map<BackendServerId, ServerEntry> sort(Map<BackendServerId, ServerEntry> servers) {
    Map<BackendServerId, ServerEntry> sorted = new TreeMap<>(comparator);
    sorted.putAll(servers);
    return Collections.unmodifiableMap(new LinkedHashMap<>(sorted));
  }
}
