package org.persimmonwalk.blackboard;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.FollowOrder;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.PeerRevisions;
import org.persimmonwalk.model.Promotion;
import org.persimmonwalk.model.ServerProbe;
import org.persimmonwalk.model.ShareLease;

/** The entries of the blackboard; each is written by one controller. */
public final class Entries {

  /** The configuration in force. */
  public static final EntryKey<Configuration> CONFIGURATION =
      EntryKey.of("configuration", Configuration.EMPTY);

  /** Samples, primary and confirmed positions of each database group. */
  public static final EntryKey<Map<DatabaseGroupId, GroupView>> GROUPS =
      EntryKey.of("groups", Map.of());

  /** When the configuration in force was last known to be the newest one. */
  public static final EntryKey<Optional<MonotonicTime>> CONFIGURATION_CURRENT_AT =
      EntryKey.of("freshness", Optional.empty());

  /** The configuration revisions that peers have reported. */
  public static final EntryKey<PeerRevisions> PEER_REVISIONS =
      EntryKey.of("peerRevisions", PeerRevisions.NONE);

  /** The caller keys that are valid, by their hashes. */
  public static final EntryKey<Map<KeyHash, CallerKey>> VALID_KEYS =
      EntryKey.of("validKeys", Map.of());

  /** The keys that were valid at some time since this host started and no longer are. */
  public static final EntryKey<Map<KeyHash, WorkspaceId>> WITHDRAWN_KEYS =
      EntryKey.of("withdrawnKeys", Map.of());

  /** The zones and endpoints of the other entry hosts that are known, live or not. */
  public static final EntryKey<Map<EntryHostId, HostEntry>> HOSTS = EntryKey.of("hosts", Map.of());

  /** The entry hosts that are live; includes this host unless it is stopping. */
  public static final EntryKey<Set<EntryHostId>> LIVE_HOSTS = EntryKey.of("liveHosts", Set.of());

  /** The demand at this host, in statements per second. */
  public static final EntryKey<Map<WorkspaceId, Double>> DEMAND = EntryKey.of("demand", Map.of());

  /** The demand at other live hosts, in statements per second, from their last heartbeats. */
  public static final EntryKey<Map<EntryHostId, Map<WorkspaceId, Double>>> PEER_DEMAND =
      EntryKey.of("peerDemand", Map.of());

  /** Whether this host serves callers. */
  public static final EntryKey<HostPhase> HOST_PHASE = EntryKey.of("hostPhase", HostPhase.STARTING);

  /** When a stopping host ends the remaining sessions. */
  public static final EntryKey<Optional<MonotonicTime>> DRAIN_DEADLINE =
      EntryKey.of("drainDeadline", Optional.empty());

  /** This host's leased share of the rate and burst of each workspace. */
  public static final EntryKey<Map<WorkspaceId, ShareLease>> SHARES =
      EntryKey.of("shares", Map.of());

  /** The connections that this host may have open to each backend server. */
  public static final EntryKey<Map<BackendServerId, Integer>> CONNECTION_ALLOWANCES =
      EntryKey.of("connection allowances", Map.of());

  /** The newest probe of each backend server. */
  public static final EntryKey<Map<BackendServerId, ServerProbe>> PROBES =
      EntryKey.of("probes", Map.of());

  /** The promotions that this host takes part in; groups without one are absent. */
  public static final EntryKey<Map<DatabaseGroupId, Promotion>> PROMOTIONS =
      EntryKey.of("promotions", Map.of());

  /**
   * The servers that do not follow the primary of their group, with the time at which this host
   * sends the next command to follow it.
   */
  public static final EntryKey<Map<BackendServerId, FollowOrder>> FOLLOW_ORDERS =
      EntryKey.of("followOrders", Map.of());

  private Entries() {}
}
