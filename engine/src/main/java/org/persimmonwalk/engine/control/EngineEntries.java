package org.persimmonwalk.engine.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.EntryKey;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** The entries of the blackboard; each is written by one controller. */
public final class EngineEntries {

  /** The configuration in force. */
  public static final EntryKey<RoutingConfiguration> CONFIGURATION =
      EntryKey.of("routing configuration", RoutingConfiguration.NONE);

  /**
   * When the configuration and the leadership rows were last known to be the newest ones: the time
   * before the call that showed it.
   */
  public static final EntryKey<Optional<MonotonicTime>> VERIFIED_AT =
      EntryKey.of("verified at", Optional.empty());

  /** The rows of the store that this host has seen. */
  public static final EntryKey<Map<RowKey, StoredRow>> ROWS = EntryKey.of("rows", Map.of());

  /** The newest reading of the store's clock. */
  public static final EntryKey<Optional<StoreTime>> STORE_TIME =
      EntryKey.of("store time", Optional.empty());

  /** The backend servers that may be used or are draining. */
  public static final EntryKey<Map<BackendServerId, ServerEntry>> SERVERS =
      EntryKey.of("servers", Map.of());

  /** The primary of each group. */
  public static final EntryKey<Map<DatabaseGroupId, PrimaryView>> PRIMARIES =
      EntryKey.of("primaries", Map.of());

  /** Primaries that enough hosts cannot reach. */
  public static final EntryKey<Set<BackendServerId>> UNREACHABLE_PRIMARIES =
      EntryKey.of("unreachable primaries", Set.of());

  /** The tokens of each workspace with demand at this host. */
  public static final EntryKey<Map<WorkspaceId, TokenGrant>> TOKENS =
      EntryKey.of("tokens", Map.of());

  /** The rate rows that the verification shows besides, so that tokens can be taken from them. */
  public static final EntryKey<RowDemand> ROW_DEMAND = EntryKey.of("row demand", RowDemand.NONE);

  /** The number of hosts that have lately taken tokens, this one included. */
  public static final EntryKey<Integer> ACTIVE_HOSTS = EntryKey.of("active hosts", 1);

  /** Whether this host calls the store itself, for its zone, or asks another host. */
  public static final EntryKey<RelayRole> RELAY_ROLE = EntryKey.of("relay role", RelayRole.DIRECT);

  /** The questions about tokens for the relay of the zone. */
  public static final EntryKey<TokenAsks> TOKEN_ASKS = EntryKey.of("token asks", TokenAsks.NONE);

  /** The tokens lent in this round, by the exchange of the question. */
  public static final EntryKey<Map<Long, List<TokenLoan>>> TOKEN_LOANS =
      EntryKey.of("token loans", Map.of());

  /** The revision of the list of servers, and when it was last read. */
  public static final EntryKey<Optional<ServerListing>> SERVER_LISTING =
      EntryKey.of("server listing", Optional.empty());

  /** Whether the host was asked to stop. */
  public static final EntryKey<Boolean> STOPPING = EntryKey.of("stopping", false);

  private EngineEntries() {}
}
