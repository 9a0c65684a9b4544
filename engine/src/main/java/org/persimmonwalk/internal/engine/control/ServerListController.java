package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.ReadServerList;
import org.persimmonwalk.engine.control.ServerList;
import org.persimmonwalk.engine.control.ServerListRead;
import org.persimmonwalk.engine.control.ServerListVersion;
import org.persimmonwalk.engine.control.ServerOrder;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Keeps the list of backend servers up to date, from the store or from the relay of the zone.
 * Writes the servers entry and the server list version entry.
 */
public final class ServerListController implements Controller {
  /** The interval while a server can't be reached or a group has no primary. */
  static final Duration URGENT_INTERVAL = Duration.ofMillis(700);

  static final Duration FAILURE_PAUSE = Duration.ofMillis(500);

  /** How long expired entries are kept after an outage; they are back about 2 s after the store. */
  static final Duration RECOVERY_TIME = Duration.ofMillis(2500);

  /**
   * Each call has its own timeout. This one covers an answer that is lost inside this process,
   * which must not stop the listing for good.
   */
  static final Duration LOST_ANSWER_TIMEOUT = Duration.ofMillis(5000);

  /** Spacing of the random start revisions, so that two processes don't use the same revisions. */
  private static final int REVISION_RANGE = 1 << 30;

  /** Marks a list that no relay has, so that the relay sends its whole list again. */
  private static final long UNKNOWN_REVISION = 0;

  private final EngineTimings timings;
  private final DecisionLog log;
  private final ServerOrder order;
  private final DrainingServers drainingServers = new DrainingServers();
  private StoreEra era = StoreEra.UNKNOWN;
  private long localRevision;
  private boolean inFlight;
  private MonotonicTime lastCallAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private MonotonicTime nextCallAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private MonotonicTime lastListAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private MonotonicTime keepExpiredUntil = MonotonicTime.of(Long.MIN_VALUE / 2);

  private ServerListController(EngineSettings settings, DecisionLog log) {
    this.timings = settings.timings();
    this.order = ServerOrder.of(settings.host());
    this.log = log;
  }

  /** Returns a controller that knows no server. */
  public static ServerListController create(EngineSettings settings, DecisionLog log) {
    return new ServerListController(settings, log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    if (localRevision == 0) {
      localRevision = (long) context.random().nextInt(REVISION_RANGE) * REVISION_RANGE;
    }
    if (!blackboard.get(EngineEntries.STORE_ERA).equals(era)) {
      // Entries that the store has lost are written again by their servers.
      era = blackboard.get(EngineEntries.STORE_ERA);
      drainingServers.storeCameBack();
      if (!blackboard.get(EngineEntries.SERVERS).isEmpty()) {
        keepExpiredUntil = now.plus(RECOVERY_TIME);
      }
    }
    blackboard
        .observations(ServerListRead.class)
        .forEach(
            read -> {
              inFlight = false;
              nextCallAt =
                  now.plus(read.entries().isPresent() ? timings.listInterval() : FAILURE_PAUSE);
              read.entries().ifPresent(entries -> applyStoreList(blackboard, entries, now));
            });
    blackboard
        .observations(ZoneRequestEnded.class)
        .forEach(
            ended ->
                ended
                    .reply()
                    .filter(ZoneReply::isRelay)
                    .flatMap(ZoneReply::servers)
                    .ifPresent(
                        list ->
                            applyRelayList(blackboard, list, ended.sentAt().minus(list.age()))));
    if (blackboard.get(EngineEntries.RELAY_ROLE).isClient()) {
      MonotonicTime fallbackAt = lastListAt.plus(timings.listFallbackAge());
      nextCallAt = fallbackAt.isAfter(nextCallAt) ? fallbackAt : nextCallAt;
    } else if (isUrgent(blackboard, now)) {
      MonotonicTime urgentAt = lastListAt.plus(URGENT_INTERVAL);
      nextCallAt =
          urgentAt.isBefore(nextCallAt) && lastListAt.isAfter(keepExpiredUntil)
              ? urgentAt
              : nextCallAt;
    }
    boolean overdue = now.since(lastCallAt).compareTo(LOST_ANSWER_TIMEOUT) > 0;
    if ((!inFlight || overdue) && !now.isBefore(nextCallAt)) {
      inFlight = true;
      lastCallAt = now;
      blackboard.submit(new ReadServerList());
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(
                ServerListRead.class,
                ZoneRequestEnded.class,
                ServerUnreachable.class,
                ZoneRequestReceived.class)
            .andEntries(
                EngineEntries.STORE_ERA,
                EngineEntries.RELAY_ROLE,
                EngineEntries.COLD_SERVERS,
                EngineEntries.PRIMARIES));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    boolean waitsForPrimary =
        blackboard.get(EngineEntries.PRIMARIES).values().stream()
            .anyMatch(view -> view.server().isEmpty() || view.endsAt().isPresent());
    if (waitsForPrimary || ColdServers.awaitsList(blackboard)) {
      return NextRun.inNextRound(now);
    }
    return NextRun.at(inFlight ? lastCallAt.plus(LOST_ANSWER_TIMEOUT) : nextCallAt);
  }

  private static boolean isUrgent(Blackboard blackboard, MonotonicTime now) {
    return blackboard.observations(ServerUnreachable.class).findAny().isPresent()
        || ColdServers.awaitsList(blackboard)
        || blackboard
            .observations(ZoneRequestReceived.class)
            .anyMatch(received -> received.request().urgent())
        || blackboard.get(EngineEntries.PRIMARIES).values().stream()
            .anyMatch(view -> view.at(now).isEmpty());
  }

  private void applyStoreList(Blackboard blackboard, List<ServerEntry> entries, MonotonicTime now) {
    Map<BackendServerId, ServerEntry> old = blackboard.get(EngineEntries.SERVERS);
    replace(blackboard, entries, now);
    if (!isSameUpToCountdown(old, blackboard.get(EngineEntries.SERVERS))
        || publishedRevision(blackboard) != localRevision) {
      localRevision++;
    }
    publishVersion(blackboard, localRevision);
  }

  /**
   * Returns whether the lists differ at most in the countdown of cold times, which each host makes
   * for itself.
   */
  private static boolean isSameUpToCountdown(
      Map<BackendServerId, ServerEntry> old, Map<BackendServerId, ServerEntry> current) {
    return old.keySet().equals(current.keySet())
        && old.values().stream()
            .allMatch(entry -> entry.isSameUpToCountdown(current.get(entry.id())));
  }

  private static long publishedRevision(Blackboard blackboard) {
    return blackboard
        .get(EngineEntries.SERVER_LIST_VERSION)
        .map(ServerListVersion::revision)
        .orElse(0L);
  }

  private void publishVersion(Blackboard blackboard, long revision) {
    blackboard.put(
        EngineEntries.SERVER_LIST_VERSION,
        Optional.of(new ServerListVersion(revision, lastListAt)));
  }

  /** Applies the relay's list unless it was read before the list that is known here. */
  private void applyRelayList(Blackboard blackboard, ServerList list, MonotonicTime readAt) {
    if (!readAt.isAfter(lastListAt)) {
      return;
    }
    if (publishedRevision(blackboard) == list.revision()) {
      lastListAt = readAt;
      publishVersion(blackboard, list.revision());
      return;
    }
    replace(blackboard, list.entries(), readAt);
    boolean isExactCopy = !readAt.isBefore(keepExpiredUntil);
    publishVersion(blackboard, isExactCopy ? list.revision() : UNKNOWN_REVISION);
  }

  private void replace(Blackboard blackboard, List<ServerEntry> entries, MonotonicTime now) {
    Map<BackendServerId, ServerEntry> old = blackboard.get(EngineEntries.SERVERS);
    if (!old.isEmpty() && now.since(lastListAt).compareTo(timings.listOutageThreshold()) > 0) {
      keepExpiredUntil = now.plus(RECOVERY_TIME);
    }
    lastListAt = now;
    Map<BackendServerId, ServerEntry> servers = new HashMap<>();
    if (now.isBefore(keepExpiredUntil)) {
      servers.putAll(old);
    }
    drainingServers.record(entries, now);
    entries.forEach(entry -> servers.put(entry.id(), drainingServers.correct(entry)));
    logChanges(old, servers);
    blackboard.put(EngineEntries.SERVERS, order.sort(servers));
  }

  private void logChanges(
      Map<BackendServerId, ServerEntry> old, Map<BackendServerId, ServerEntry> servers) {
    servers.forEach(
        (id, entry) -> {
          if (!old.containsKey(id) || !entry.isSameUpToCountdown(old.get(id))) {
            log.write(
                "server-entry",
                "server",
                id,
                "group",
                entry.group(),
                "primary",
                entry.primary(),
                "draining",
                entry.draining(),
                "started",
                entry.startedAtMillis());
          }
        });
    old.keySet().stream()
        .filter(id -> !servers.containsKey(id))
        .forEach(id -> log.write("server-gone", "server", id));
  }
}
