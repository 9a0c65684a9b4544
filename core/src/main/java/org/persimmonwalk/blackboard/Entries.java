package org.persimmonwalk.blackboard;

import java.util.Map;
import java.util.Set;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.ShareLease;

/** The entries of the blackboard; each is written by one controller. */
public final class Entries {

  /** The configuration in force. */
  public static final EntryKey<Configuration> CONFIGURATION =
      EntryKey.of("configuration", Configuration.EMPTY);

  /** Samples, primary and confirmed positions of each database group. */
  public static final EntryKey<Map<DatabaseGroupId, GroupView>> GROUPS =
      EntryKey.of("groups", Map.of());

  /** The entry hosts that are believed to be live; empty as long as none is known. */
  public static final EntryKey<Set<EntryHostId>> LIVE_HOSTS = EntryKey.of("live hosts", Set.of());

  /** The demand at this host, in statements per second. */
  public static final EntryKey<Map<WorkspaceId, Double>> DEMAND = EntryKey.of("demand", Map.of());

  /** The demand at other hosts as far as known, in statements per second. */
  public static final EntryKey<Map<EntryHostId, Map<WorkspaceId, Double>>> PEER_DEMAND =
      EntryKey.of("peer demand", Map.of());

  /** This host's part of the rate and burst of each workspace. */
  public static final EntryKey<Map<WorkspaceId, ShareLease>> SHARES =
      EntryKey.of("shares", Map.of());

  /** The connections that this host may have open to each backend server. */
  public static final EntryKey<Map<BackendServerId, Integer>> CONNECTION_ALLOWANCES =
      EntryKey.of("connection allowances", Map.of());

  /** Whether this host is being stopped as planned and gives back what it holds. */
  public static final EntryKey<Boolean> STOPPING = EntryKey.of("stopping", false);

  private Entries() {}
}
