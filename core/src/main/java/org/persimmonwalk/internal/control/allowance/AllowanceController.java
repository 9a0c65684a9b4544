package org.persimmonwalk.internal.control.allowance;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.control.lease.Fleet;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.internal.control.lease.RowObservations;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GrantRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.observation.ConnectionsCounted;

/**
 * Leases connections to backend servers and transfers them to hosts that need more. It publishes
 * the connections that this host may have open to each server.
 */
public final class AllowanceController implements Controller {
  /** The table with one row per backend server. */
  public static final String TABLE = GrantRow.SERVER_TABLE;

  /**
   * How often allowances without new observations are run. Running all of them in each round took
   * most of the control thread's time with 1,710 servers. The interval is short compared with the
   * last 10 s of a lease, in which connections are closed.
   */
  private static final Duration FULL_RUN_INTERVAL = Duration.ofMillis(100);

  private final EntryHostId self;
  private final LeaseSettings settings;
  private final Map<BackendServerId, ServerAllowance> allowances = new TreeMap<>();
  private final Map<BackendServerId, Integer> published = new HashMap<>();
  private Map<DatabaseGroupId, DatabaseGroup> configured = Map.of();
  private Fleet lastFleet;
  private MonotonicTime lastFullRun = MonotonicTime.of(0);

  private AllowanceController(EntryHostId self, LeaseSettings settings) {
    this.self = self;
    this.settings = settings;
    this.lastFleet = new Fleet(self, Set.of(), false);
  }

  /** Returns the controller of the given host. */
  public static AllowanceController of(EntryHostId self, LeaseSettings settings) {
    return new AllowanceController(self, settings);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    Map<DatabaseGroupId, DatabaseGroup> groups = blackboard.get(Entries.CONFIGURATION).groups();
    Fleet fleet = Fleet.of(self, blackboard);
    boolean runAll = isFullRunDue(groups, fleet, context.now());
    if (groups != configured) {
      configure(groups, context);
    }
    blackboard.observations(ConnectionsCounted.class).forEach(this::connectionsCounted);
    RowObservations rowObservations = RowObservations.of(blackboard);
    boolean changed = published.keySet().retainAll(allowances.keySet());
    for (BackendServerId server :
        runAll ? allowances.keySet() : serversWithObservations(blackboard, rowObservations)) {
      int allowance = allowances.get(server).run(blackboard, context, fleet, rowObservations);
      Integer before = published.put(server, allowance);
      changed |= before == null || before != allowance;
    }
    if (changed) {
      blackboard.put(Entries.CONNECTION_ALLOWANCES, Map.copyOf(published));
    }
  }

  private boolean isFullRunDue(
      Map<DatabaseGroupId, DatabaseGroup> groups, Fleet fleet, MonotonicTime now) {
    boolean due =
        groups != configured
            || !fleet.equals(lastFleet)
            || now.since(lastFullRun).compareTo(FULL_RUN_INTERVAL) >= 0;
    if (due) {
      lastFullRun = now;
      lastFleet = fleet;
    }
    return due;
  }

  /** Returns the configured servers that this round's observations are about. */
  private Set<BackendServerId> serversWithObservations(
      Blackboard blackboard, RowObservations rowObservations) {
    Set<BackendServerId> servers = new TreeSet<>();
    blackboard
        .observations(ConnectionsCounted.class)
        .forEach(counted -> servers.add(counted.server()));
    for (TableRow row : rowObservations.rows()) {
      if (row.table().equals(TABLE)) {
        servers.add(BackendServerId.of(row.row()));
      }
    }
    servers.retainAll(allowances.keySet());
    return servers;
  }

  private void configure(Map<DatabaseGroupId, DatabaseGroup> groups, RoundContext context) {
    configured = groups;
    Set<BackendServerId> servers = new HashSet<>();
    for (DatabaseGroup group : groups.values()) {
      for (BackendServer server : group.servers()) {
        servers.add(server.id());
        allowances
            .computeIfAbsent(server.id(), id -> ServerAllowance.of(id, settings, context.now()))
            .configure(server);
      }
    }
    allowances.keySet().retainAll(servers);
  }

  private void connectionsCounted(ConnectionsCounted counted) {
    ServerAllowance allowance = allowances.get(counted.server());
    if (allowance != null) {
      allowance.connectionsCounted(counted);
    }
  }
}
