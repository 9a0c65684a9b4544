package org.persimmonwalk.internal.engine.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.control.ColdServer;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.ServerConnectionLost;
import org.persimmonwalk.engine.control.ServerListVersion;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Keeps track of the cold servers and of how long this host has been the relay of its zone, which
 * alone may send to them. Does nothing unless the settings limit the requests to cold servers.
 * Writes the cold servers entry and the relaying since entry.
 */
public final class ColdServerController implements Controller {
  private final boolean enabled;
  private final DecisionLog log;
  private final ColdServers servers;
  private StoreEra era = StoreEra.UNKNOWN;
  private Optional<ServerListVersion> lastList = Optional.empty();

  private ColdServerController(EngineSettings settings, DecisionLog log) {
    this.enabled = settings.coldBounds().isPresent();
    this.log = log;
    this.servers =
        new ColdServers(
            settings.bounds().heartbeat(), EngineTimings.restartVisibleAfter(settings.bounds()));
  }

  /** Returns a controller that knows no cold server. */
  public static ColdServerController create(EngineSettings settings, DecisionLog log) {
    return new ColdServerController(settings, log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    if (!enabled) {
      return;
    }
    updateRelayingSince(blackboard, context.now());
    blackboard.observations(ServerConnectionLost.class).forEach(servers::connectionLost);
    Optional<ServerListVersion> list = blackboard.get(EngineEntries.SERVER_LIST_VERSION);
    if (list.isPresent() && !list.equals(lastList)) {
      servers.applyList(blackboard.get(EngineEntries.SERVERS).values(), list.get().readAt());
      lastList = list;
    }
    blackboard
        .get(EngineEntries.SUSPECTED_RESTARTS)
        .values()
        .forEach(
            restart -> servers.restartSuspected(restart, blackboard.get(EngineEntries.SERVERS)));
    publish(blackboard, context.now());
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(ServerConnectionLost.class)
            .andEntries(
                EngineEntries.STORE_ERA,
                EngineEntries.RELAY_ROLE,
                EngineEntries.SERVER_LIST_VERSION,
                EngineEntries.SERVERS,
                EngineEntries.SUSPECTED_RESTARTS,
                EngineEntries.CONFIGURATION));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    return blackboard.get(EngineEntries.COLD_SERVERS).isEmpty()
        ? NextRun.onInput()
        : NextRun.inNextRound(now);
  }

  /**
   * The wait starts anew in each era of the store: a copy may name this host as the relay although
   * another one took the role after the copy was made, and acts on a verification of that era.
   */
  private void updateRelayingSince(Blackboard blackboard, MonotonicTime now) {
    StoreEra current = blackboard.get(EngineEntries.STORE_ERA);
    boolean isNewEra = !current.equals(era);
    era = current;
    boolean isRelay = blackboard.get(EngineEntries.RELAY_ROLE).isRelay();
    Optional<MonotonicTime> since = blackboard.get(EngineEntries.RELAYING_SINCE);
    if (!isRelay && since.isPresent()) {
      blackboard.put(EngineEntries.RELAYING_SINCE, Optional.empty());
    } else if (isRelay && (isNewEra || since.isEmpty())) {
      blackboard.put(EngineEntries.RELAYING_SINCE, Optional.of(now));
    }
  }

  private void publish(Blackboard blackboard, MonotonicTime now) {
    Map<DatabaseGroupId, GroupSettings> groups =
        blackboard.get(EngineEntries.CONFIGURATION).groups();
    Map<BackendServerId, ColdServer> cold = new HashMap<>(servers.at(now));
    cold.values()
        .removeIf(
            server ->
                !groups.containsKey(server.server().group())
                    || !groups.get(server.server().group()).startsCold());
    Map<BackendServerId, ColdServer> old = blackboard.get(EngineEntries.COLD_SERVERS);
    if (!cold.equals(old)) {
      logChanges(old, cold);
      blackboard.put(EngineEntries.COLD_SERVERS, Map.copyOf(cold));
    }
  }

  private void logChanges(
      Map<BackendServerId, ColdServer> old, Map<BackendServerId, ColdServer> cold) {
    cold.forEach(
        (id, server) -> {
          ColdServer before = old.get(id);
          if (before == null || before.reason() != server.reason()) {
            log.write(
                "server-cold",
                "server",
                id,
                "group",
                server.server().group(),
                "reason",
                server.reason(),
                "leftMs",
                server.server().coldLeft().toMillis());
          }
        });
    old.forEach(
        (id, server) -> {
          if (!cold.containsKey(id)) {
            log.write("server-warm", "server", id, "group", server.server().group());
          }
        });
  }
}
