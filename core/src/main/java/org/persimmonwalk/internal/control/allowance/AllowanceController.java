package org.persimmonwalk.internal.control.allowance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.control.lease.Fleet;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.internal.control.lease.RowInbox;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GrantTable;
import org.persimmonwalk.observation.ConnectionsCounted;

/** Leases connections to backend servers and moves them to hosts that want more. */
public final class AllowanceController implements Controller {
  /** The table with one row per backend server. */
  public static final String TABLE = GrantTable.SERVER_TABLE;

  private final EntryHostId self;
  private final LeaseSettings settings;
  private final Map<BackendServerId, ServerAllowance> allowances = new TreeMap<>();

  private AllowanceController(EntryHostId self, LeaseSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Returns the controller of the given host. */
  public static AllowanceController of(EntryHostId self, LeaseSettings settings) {
    return new AllowanceController(self, settings);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    configure(blackboard.get(Entries.CONFIGURATION), context);
    blackboard.observations(ConnectionsCounted.class).forEach(this::counted);
    Fleet fleet = Fleet.of(self, blackboard);
    RowInbox inbox = RowInbox.of(blackboard);
    Map<BackendServerId, Integer> published = new HashMap<>();
    allowances.forEach(
        (server, allowance) ->
            published.put(server, allowance.run(blackboard, context, fleet, inbox)));
    publish(blackboard, published);
  }

  /** Keeps the map while nothing changes, since a new one makes a listener report connections. */
  private static void publish(Blackboard blackboard, Map<BackendServerId, Integer> allowances) {
    if (!blackboard.get(Entries.CONNECTION_ALLOWANCES).equals(allowances)) {
      blackboard.put(Entries.CONNECTION_ALLOWANCES, Map.copyOf(allowances));
    }
  }

  private void configure(Configuration configuration, RoundContext context) {
    Set<BackendServerId> servers = new HashSet<>();
    for (DatabaseGroup group : configuration.groups().values()) {
      for (BackendServer server : group.servers()) {
        servers.add(server.id());
        allowances
            .computeIfAbsent(server.id(), id -> ServerAllowance.of(id, settings, context.now()))
            .configure(server);
      }
    }
    allowances.keySet().retainAll(servers);
  }

  private void counted(ConnectionsCounted counted) {
    ServerAllowance allowance = allowances.get(counted.server());
    if (allowance != null) {
      allowance.counted(counted);
    }
  }
}
