package org.persimmonwalk.internal.control.share;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.lease.Fleet;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.internal.control.lease.RowObservations;
import org.persimmonwalk.model.GrantRow;
import org.persimmonwalk.model.ShareLease;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.observation.DemandMeasured;
import org.persimmonwalk.observation.TokenOrderCompleted;

/**
 * Leases parts of the workspaces' rates and bursts and transfers them between hosts by demand. It
 * publishes this host's shares and its measured demand.
 */
public final class ShareController implements Controller {
  /** The table with one row per workspace. */
  public static final String TABLE = GrantRow.WORKSPACE_TABLE;

  private final EntryHostId self;
  private final LeaseSettings settings;
  private final Map<WorkspaceId, WorkspaceShare> shares = new TreeMap<>();

  private ShareController(EntryHostId self, LeaseSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Returns the controller of the given host. */
  public static ShareController of(EntryHostId self, LeaseSettings settings) {
    return new ShareController(self, settings);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    configure(blackboard.get(Entries.CONFIGURATION).workspaces(), context);
    blackboard.observations(DemandMeasured.class).forEach(this::demandMeasured);
    blackboard.observations(TokenOrderCompleted.class).forEach(this::orderCompleted);
    Fleet fleet = Fleet.of(self, blackboard);
    RowObservations rowObservations = RowObservations.of(blackboard);
    Map<EntryHostId, Map<WorkspaceId, Double>> peerDemand = blackboard.get(Entries.PEER_DEMAND);
    Map<WorkspaceId, ShareLease> leases = new HashMap<>();
    Map<WorkspaceId, Double> demand = new HashMap<>();
    shares.forEach(
        (workspace, share) -> {
          leases.put(workspace, share.run(blackboard, context, fleet, rowObservations, peerDemand));
          demand.put(workspace, share.measuredDemand());
        });
    blackboard.put(Entries.SHARES, Map.copyOf(leases));
    blackboard.put(Entries.DEMAND, Map.copyOf(demand));
  }

  private void configure(Map<WorkspaceId, Workspace> workspaces, RoundContext context) {
    shares.keySet().retainAll(workspaces.keySet());
    workspaces
        .values()
        .forEach(
            workspace ->
                shares
                    .computeIfAbsent(
                        workspace.id(), id -> WorkspaceShare.of(id, settings, context.now()))
                    .configure(workspace));
  }

  private void demandMeasured(DemandMeasured measured) {
    WorkspaceShare share = shares.get(measured.workspace());
    if (share != null) {
      share.demandMeasured(measured);
    }
  }

  private void orderCompleted(TokenOrderCompleted completed) {
    WorkspaceShare share = shares.get(completed.workspace());
    if (share != null) {
      share.orderCompleted(completed);
    }
  }
}
