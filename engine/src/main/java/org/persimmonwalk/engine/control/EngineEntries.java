package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.EntryKey;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** The entries of the blackboard. Each is written by one controller, on the control thread. */
public final class EngineEntries {

  /** The configuration in force. */
  public static final EntryKey<RoutingConfiguration> CONFIGURATION =
      EntryKey.of("routing configuration", RoutingConfiguration.NONE);

  /**
   * When the leadership rows were last verified to be the newest: the start of the call that
   * verified them.
   */
  public static final EntryKey<Optional<MonotonicTime>> VERIFIED_AT =
      EntryKey.of("verified at", Optional.empty());

  /**
   * The start of the newest verification that covered the configuration too. It is older than the
   * one above only while a large configuration is arriving.
   */
  public static final EntryKey<Optional<MonotonicTime>> CONFIGURATION_VERIFIED_AT =
      EntryKey.of("configuration verified at", Optional.empty());

  /**
   * Whether calls for tokens leave the configuration row out, because their answers would bring a
   * large configuration again or wait for it.
   */
  public static final EntryKey<Boolean> CONFIGURATION_LEFT_OUT =
      EntryKey.of("configuration left out", false);

  /** The groups whose leadership rows the newest verification covered. */
  public static final EntryKey<Set<DatabaseGroupId>> VERIFIED_GROUPS =
      EntryKey.of("verified groups", Set.of());

  /**
   * The start of the verification that vouches for the keys of the configuration: one after which
   * the operator can't have a newer configuration that the store has lost.
   */
  public static final EntryKey<Optional<MonotonicTime>> KEYS_VERIFIED_AT =
      EntryKey.of("keys verified at", Optional.empty());

  /** The newest era of the store that this host has heard of. */
  public static final EntryKey<StoreEra> STORE_ERA = EntryKey.of("store era", StoreEra.UNKNOWN);

  /** What this host knew of the store's rows before the current era. */
  public static final EntryKey<RememberedRows> REMEMBERED_ROWS =
      EntryKey.of("remembered rows", RememberedRows.NONE);

  /** The newest content of each row of the store that this host has seen in the current era. */
  public static final EntryKey<Map<RowKey, StoredRow>> STORE_ROWS = EntryKey.of("rows", Map.of());

  /** The newest reading of the store's clock. */
  public static final EntryKey<Optional<StoreTime>> STORE_TIME =
      EntryKey.of("store time", Optional.empty());

  /**
   * The listed backend servers, including those that are draining, in the order of {@link
   * ServerOrder}.
   */
  public static final EntryKey<Map<BackendServerId, ServerEntry>> SERVERS =
      EntryKey.of("servers", Map.of());

  /**
   * The zones whose evacuation rows each verification covers; none in a deployment that evacuates
   * no zones.
   */
  public static final EntryKey<Set<AvailabilityZone>> WATCHED_ZONES =
      EntryKey.of("watched zones", Set.of());

  /** The zones that an operator has evacuated. */
  public static final EntryKey<Evacuations> EVACUATIONS =
      EntryKey.of("evacuations", Evacuations.NONE);

  /** The primary of each group. */
  public static final EntryKey<Map<DatabaseGroupId, PrimaryView>> PRIMARIES =
      EntryKey.of("primaries", Map.of());

  /** The primaries that a quorum of hosts can't reach. */
  public static final EntryKey<Set<BackendServerId>> UNREACHABLE_PRIMARIES =
      EntryKey.of("unreachable primaries", Set.of());

  /** The tokens that this host may spend, for each workspace with demand here. */
  public static final EntryKey<Map<WorkspaceId, TokenGrant>> TOKENS =
      EntryKey.of("tokens", Map.of());

  /**
   * The time before which no token comes, for those workspaces with operations that wait for one
   * here for which this host knows it.
   */
  public static final EntryKey<Map<WorkspaceId, MonotonicTime>> NO_TOKEN_BEFORE =
      EntryKey.of("no token before", Map.of());

  /** The rate rows that a verification also reads, so that tokens can be taken from them. */
  public static final EntryKey<RowDemand> ROW_DEMAND = EntryKey.of("row demand", RowDemand.NONE);

  /** The number of running entry hosts of all zones, this one included; 0 while it is unknown. */
  public static final EntryKey<Integer> FLEET_SIZE = EntryKey.of("fleet size", 0);

  /** Whether this host calls the store for itself, is the relay, or uses the relay. */
  public static final EntryKey<RelayRole> RELAY_ROLE = EntryKey.of("relay role", RelayRole.DIRECT);

  /**
   * The lenders that have not replied for longer than usual. Operations that wait for tokens ask
   * the next lender in addition.
   */
  public static final EntryKey<Set<RelayHost>> SLOW_LENDERS = EntryKey.of("slow lenders", Set.of());

  /**
   * The lenders that did not lend when they were asked last, and may be asked again. Until one has
   * replied it is not known to lend.
   */
  public static final EntryKey<Set<RelayHost>> FAILED_LENDERS =
      EntryKey.of("failed lenders", Set.of());

  /** How long lenders take to reply lately, in steps of 100 ms; zero while they reply at once. */
  public static final EntryKey<Duration> LENDER_REPLY_TIME =
      EntryKey.of("lender reply time", Duration.ZERO);

  /**
   * Whether the relay of the zone has verified anew lately, so that an old verification means that
   * it or the store is slow and not that it is lost.
   */
  public static final EntryKey<Boolean> RELAY_ADVANCES = EntryKey.of("relay advances", false);

  /** The relays that can lend tokens to this host, by zone; without this host itself. */
  public static final EntryKey<Map<AvailabilityZone, RelayHost>> LENDERS =
      EntryKey.of("lenders", Map.of());

  /** The tokens to request from each lender, in the order in which the requests are sent. */
  public static final EntryKey<Map<RelayHost, TokenRequests>> TOKEN_REQUESTS =
      EntryKey.of("token requests", Map.of());

  /** The lenders that have not replied yet, and when the requests to them were sent. */
  public static final EntryKey<Map<RelayHost, MonotonicTime>> UNANSWERED_LENDERS =
      EntryKey.of("unanswered lenders", Map.of());

  /** The loans that answer requests in this round, by the exchange id of the requests. */
  public static final EntryKey<Map<Long, List<TokenLoan>>> TOKEN_LOANS =
      EntryKey.of("token loans", Map.of());

  /**
   * The replies to token requests that are complete in this round, in the order of exchange ids.
   */
  public static final EntryKey<Map<Long, TokenReply>> TOKEN_REPLIES =
      EntryKey.of("token replies", Map.of());

  /** The revision of the server list and when the list was last read. */
  public static final EntryKey<Optional<ServerListVersion>> SERVER_LIST_VERSION =
      EntryKey.of("server list version", Optional.empty());

  /** The servers that count as cold; none if the settings don't limit the requests to them. */
  public static final EntryKey<Map<BackendServerId, ColdServer>> COLD_SERVERS =
      EntryKey.of("cold servers", Map.of());

  /** The servers of which this host lost all connections lately; told to the relay. */
  public static final EntryKey<Map<BackendServerId, SuspectedRestart>> OWN_LOSSES =
      EntryKey.of("own losses", Map.of());

  /**
   * The servers that may have restarted lately according to several hosts; the relay tells the
   * hosts of its zone and the relays of other zones.
   */
  public static final EntryKey<Map<BackendServerId, SuspectedRestart>> SUSPECTED_RESTARTS =
      EntryKey.of("suspected restarts", Map.of());

  /**
   * Since when this host has been the relay of its zone in the current era of the store; empty if
   * it isn't, or if the settings don't limit the requests to cold servers.
   */
  public static final EntryKey<Optional<MonotonicTime>> RELAYING_SINCE =
      EntryKey.of("relaying since", Optional.empty());

  /** What this host has seen of the servers that it used lately; sent to the relay once. */
  public static final EntryKey<ServerLoads> OWN_LOADS = EntryKey.of("own loads", ServerLoads.NONE);

  /** What the hosts of the zone together have seen of the servers lately. */
  public static final EntryKey<ServerLoads> ZONE_LOADS =
      EntryKey.of("zone loads", ServerLoads.NONE);

  /**
   * When the host last resumed after a suspension, as the clocks show. For controllers that must
   * run then; those that act compare the clocks themselves.
   */
  public static final EntryKey<Optional<MonotonicTime>> RESUMED_AT =
      EntryKey.of("resumed at", Optional.empty());

  /** Whether this host has been asked to stop. */
  public static final EntryKey<Boolean> STOPPING = EntryKey.of("stopping", false);

  private EngineEntries() {}
}
