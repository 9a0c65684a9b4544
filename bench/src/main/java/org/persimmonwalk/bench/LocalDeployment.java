package org.persimmonwalk.bench;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Set;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.entryhost.EntryHost;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.entryhost.TrafficPolicies;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.settings.SettingsReader;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.ConfirmedPosition;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.release.PublishResult;
import org.persimmonwalk.release.ReleaseItem;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.release.ReleaseNotePublisher;
import org.persimmonwalk.release.RetryPause;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.standin.StandInGroup;
import org.persimmonwalk.standin.StandInGroupSettings;
import org.persimmonwalk.standin.StandInPlatform;
import org.persimmonwalk.standin.StandInPlatformSettings;
import org.persimmonwalk.store.PlatformClient;
import org.persimmonwalk.store.PlatformObjectStore;
import org.persimmonwalk.store.PlatformSettings;
import org.persimmonwalk.store.PlatformTableService;
import org.persimmonwalk.store.RowCodecs;

/**
 * Entry hosts in front of one stand-in database group on a stand-in platform, all in this process.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (LocalDeployment deployment = LocalDeployment.start(2, new TrafficListener() {})) {
 *   Connection connection = deployment.connect(0, Map.of());
 * }
 * }</pre>
 */
public final class LocalDeployment implements AutoCloseable {
  /** The workspace that callers use. */
  public static final WorkspaceId WORKSPACE = WorkspaceId.of("oil");

  /** The database group that callers use. */
  public static final DatabaseGroupId GROUP = DatabaseGroupId.of("tanks");

  /** The caller key of the workspace. */
  public static final String KEY = "demo-key-of-workspace-oil";

  private static final List<String> SERVERS = List.of("server-a", "server-b", "server-c");
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final Duration MAXIMUM_AGE = Duration.ofSeconds(30);
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long POLL_MILLISECONDS = 5;
  private static final int CONNECTIONS_PER_SERVER = 50;
  private static final double WORKSPACE_RATE = 1_000_000;

  private final StandInGroup group;
  private final StandInPlatform platform;
  private final String callerSecurity;
  private final List<EntryHost> hosts = new ArrayList<>();

  private LocalDeployment(StandInGroup group, StandInPlatform platform, String callerSecurity) {
    this.group = group;
    this.platform = platform;
    this.callerSecurity = callerSecurity;
  }

  /** Starts a primary, two replicas and entry hosts, and waits until the hosts serve. */
  public static LocalDeployment start(int hostCount, TrafficListener listener) {
    return start(hostCount, TrafficPolicies::standard, listener);
  }

  /** Starts a group and entry hosts with the given policies, and waits until the hosts serve. */
  public static LocalDeployment start(
      int hostCount, TrafficPolicies.Factory policies, TrafficListener listener) {
    LocalDeployment deployment = start(hostCount, policies, listener, "plainText: true");
    for (int i = 0; i < hostCount; i++) {
      deployment.awaitShare(i);
    }
    return deployment;
  }

  /**
   * Opens connections until the host holds a share of the workspace's rate. A host that has had no
   * caller holds none and refuses the first ones with {@link ResultCode#RATE_EXCEEDED}.
   */
  private void awaitShare(int hostNumber) {
    MonotonicTime start = MonotonicClock.system().now();
    while (true) {
      try {
        connect(hostNumber, Map.of()).close();
        return;
      } catch (SQLException e) {
        boolean timedOut = MonotonicClock.system().now().since(start).compareTo(TIMEOUT) > 0;
        if (timedOut || !ResultCode.RATE_EXCEEDED.sqlState().equals(e.getSQLState())) {
          throw new IllegalStateException(
              "entry host number %d refused a caller connection with SQLSTATE %s: %s"
                  .formatted(hostNumber, e.getSQLState(), e.getMessage()),
              e);
        }
      }
    }
  }

  /** Starts a group and one entry host that accepts callers with TLS only. */
  public static LocalDeployment startWithTls(Path certificate, Path key) {
    return start(
        1,
        TrafficPolicies::standard,
        new TrafficListener() {},
        "tls: {certificate: \"%s\", key: \"%s\"}".formatted(certificate, key));
  }

  private static LocalDeployment start(
      int hostCount,
      TrafficPolicies.Factory policies,
      TrafficListener listener,
      String callerSecurity) {
    StandInGroup group =
        StandInGroup.start(StandInGroupSettings.of(SERVERS.toArray(String[]::new)));
    StandInPlatform platform = StandInPlatform.start(StandInPlatformSettings.create());
    LocalDeployment deployment = new LocalDeployment(group, platform, callerSecurity);
    deployment.publish(deployment.initialReleaseNote());
    for (int i = 0; i < hostCount; i++) {
      deployment.hosts.add(deployment.startHost(i, policies, listener));
    }
    deployment.hosts.forEach(LocalDeployment::awaitReady);
    return deployment;
  }

  /** Publishes a release note, as an operator does. */
  public void publish(ReleaseNote note) {
    AvailabilityZone zone = AvailabilityZone.of(ZONES.get(0));
    try (PlatformClient client =
        PlatformClient.create(PlatformSettings.of(platform.endpoint(), zone))) {
      PublishResult result =
          ReleaseNotePublisher.of(
                  PlatformTableService.of(client, RowCodecs.standard()),
                  PlatformObjectStore.of(client),
                  RandomSource.system(),
                  RetryPause.growing())
              .publish(note)
              .toCompletableFuture()
              .join();
      if (!(result instanceof PublishResult.Accepted)) {
        throw new IllegalStateException("the release note was not accepted: " + result);
      }
    }
  }

  /** Returns the stand-in platform. */
  public StandInPlatform platform() {
    return platform;
  }

  /** Returns the stand-in group. */
  public StandInGroup group() {
    return group;
  }

  /** Returns an entry host; the first has number 0 and is in the zone of the primary. */
  public EntryHost host(int number) {
    return hosts.get(number);
  }

  /**
   * Opens a caller connection through an entry host.
   *
   * @param parameters parameters without the prefix {@code persimmonwalk.}, such as {@code session}
   */
  public Connection connect(int hostNumber, Map<String, String> parameters) throws SQLException {
    Properties properties = new Properties();
    properties.put("user", WORKSPACE.value());
    properties.put("password", KEY);
    StringBuilder options = new StringBuilder();
    parameters.forEach(
        (name, value) ->
            options.append("-c persimmonwalk.").append(name).append('=').append(value).append(' '));
    properties.put("options", options.toString().strip());
    return DriverManager.getConnection(url(hosts.get(hostNumber).callerPort()), properties);
  }

  /** Opens a connection to a backend server, bypassing the entry hosts. */
  public Connection connectDirectly(String server) throws SQLException {
    int port = group.endpoint(BackendServerId.of(server)).port();
    return DriverManager.getConnection(url(port), "direct", "direct");
  }

  /**
   * Waits until every host knows a position of the primary from after this call, and has seen every
   * server replay up to it.
   *
   * @throws IllegalStateException if this does not happen within 30 s
   */
  public void awaitReplicas() throws InterruptedException {
    for (EntryHost host : hosts) {
      MonotonicTime start = MonotonicClock.system().now();
      while (!isCaughtUp(host, start)) {
        if (MonotonicClock.system().now().since(start).compareTo(TIMEOUT) > 0) {
          throw new IllegalStateException("the replicas did not catch up within " + TIMEOUT);
        }
        Thread.sleep(POLL_MILLISECONDS);
      }
    }
  }

  private static boolean isCaughtUp(EntryHost host, MonotonicTime start) {
    GroupView view = host.snapshot().get(Entries.GROUPS).get(GROUP);
    if (view == null || view.newestConfirmed().isEmpty()) {
      return false;
    }
    ConfirmedPosition newest = view.newestConfirmed().get();
    return newest.startedAt().isAfter(start)
        && view.servers().stream()
            .allMatch(server -> hasReplayed(server, newest.position().position()));
  }

  private static boolean hasReplayed(ServerView server, LogPosition position) {
    return server.sample().filter(sample -> sample.replayed().covers(position)).isPresent();
  }

  @Override
  public void close() {
    hosts.forEach(EntryHost::close);
    platform.close();
    group.close();
  }

  private static String url(int port) {
    return "jdbc:postgresql://127.0.0.1:" + port + "/" + GROUP;
  }

  private EntryHost startHost(
      int number, TrafficPolicies.Factory policies, TrafficListener listener) {
    String zone = ZONES.get(number % ZONES.size());
    String settings =
        """
        host: {id: %s, zone: %s}
        caller:
          listen: "127.0.0.1:0"
          confirmationTimeout: 2s
          messageTimeout: 1s
          %s
        backend: {user: persimmonwalk, password: backend-password}
        peer: {listen: "127.0.0.1:0", plainText: true}
        platform: {endpoint: "%s"}
        admin: {listen: "127.0.0.1:0"}
        """
            .formatted(
                EntryHostId.of("host-" + (number + 1)), zone, callerSecurity, platform.endpoint());
    EntryHost host = EntryHost.start(SettingsReader.create().parse(settings), policies, listener);
    platform.putHost(
        HostEntry.of(
            EntryHostId.of("host-" + (number + 1)),
            AvailabilityZone.of(zone),
            host.peerEndpoint()));
    return host;
  }

  /** Waits until the host serves, has a confirmed position and may open backend connections. */
  private static void awaitReady(EntryHost host) {
    MonotonicTime start = MonotonicClock.system().now();
    while (!isReady(host.snapshot())) {
      if (MonotonicClock.system().now().since(start).compareTo(TIMEOUT) > 0) {
        throw new IllegalStateException(
            "an entry host was not ready within " + TIMEOUT + ": " + describe(host.snapshot()));
      }
      try {
        Thread.sleep(POLL_MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IllegalStateException("interrupted while an entry host started", e);
      }
    }
  }

  private static String describe(Snapshot snapshot) {
    return "phase "
        + snapshot.get(Entries.HOST_PHASE)
        + ", revision "
        + snapshot.get(Entries.CONFIGURATION).revision()
        + ", live hosts "
        + snapshot.get(Entries.LIVE_HOSTS)
        + ", shares "
        + snapshot.get(Entries.SHARES)
        + ", allowances "
        + snapshot.get(Entries.CONNECTION_ALLOWANCES)
        + ", groups "
        + snapshot.get(Entries.GROUPS).keySet();
  }

  private static boolean isReady(Snapshot snapshot) {
    GroupView view = snapshot.get(Entries.GROUPS).get(GROUP);
    boolean allowed =
        SERVERS.stream()
            .map(BackendServerId::of)
            .allMatch(id -> snapshot.get(Entries.CONNECTION_ALLOWANCES).getOrDefault(id, 0) > 1);
    return snapshot.get(Entries.HOST_PHASE) == HostPhase.SERVING
        && allowed
        && view != null
        && view.newestConfirmed().isPresent();
  }

  private ReleaseNote initialReleaseNote() {
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS.size(); i++) {
      BackendServerId id = BackendServerId.of(SERVERS.get(i));
      AvailabilityZone zone = AvailabilityZone.of(ZONES.get(i));
      servers.add(BackendServer.of(id, zone, group.endpoint(id), 3, CONNECTIONS_PER_SERVER));
    }
    return ReleaseNote.of(ReleaseNoteId.of("demo"), Revision.NONE)
        .withAdded(
            List.of(
                new ReleaseItem.GroupItem(DatabaseGroup.of(GROUP, servers, MAXIMUM_AGE)),
                new ReleaseItem.WorkspaceItem(
                    Workspace.of(WORKSPACE, WORKSPACE_RATE, WORKSPACE_RATE, Set.of(GROUP))),
                new ReleaseItem.KeyItem(CallerKey.of(KeyHash.ofKey(KEY), WORKSPACE))));
  }
}
