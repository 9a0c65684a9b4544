package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.engine.control.ServerLoadReport;
import org.persimmonwalk.engine.control.ServerLoads;
import org.persimmonwalk.engine.control.ServerLoadsObserved;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Sums the loads of the servers over the hosts of the zone. The relay adds up the reports that come
 * with the regular requests; the other hosts take the sums from its replies. A report that is lost
 * or late makes the sums less exact, and without a relay they become too old to be used.
 */
public final class ServerLoadController implements Controller {
  /** How often the relay adds up; replies to about a third of its hosts share the sums. */
  private static final Duration SUM_INTERVAL = Duration.ofMillis(100);

  private final EngineSettings settings;
  private final ServerLoadSums sums = new ServerLoadSums();
  private MonotonicTime summedAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private boolean wasRelay;

  private ServerLoadController(EngineSettings settings) {
    this.settings = settings;
  }

  /** Returns a controller that knows no load. */
  public static ServerLoadController create(EngineSettings settings) {
    return new ServerLoadController(settings);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    boolean isRelay = blackboard.get(EngineEntries.RELAY_ROLE).isRelay();
    blackboard
        .observations(ServerLoadsObserved.class)
        .forEach(
            observed -> {
              blackboard.put(EngineEntries.OWN_LOADS, observed.loads());
              if (isRelay) {
                sums.add(settings.host(), observed.loads().loads().values(), now);
              }
            });
    if (isRelay) {
      addUp(blackboard, now);
    } else {
      if (wasRelay) {
        sums.clear();
      }
      blackboard
          .observations(ZoneRequestEnded.class)
          .forEach(ended -> ended.reply().ifPresent(reply -> take(blackboard, ended, reply)));
    }
    wasRelay = isRelay;
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(
                ServerLoadsObserved.class, ZoneRequestEnded.class, ZoneRequestReceived.class)
            .andEntries(EngineEntries.RELAY_ROLE));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    boolean hasLoads =
        !sums.isEmpty() || !blackboard.get(EngineEntries.ZONE_LOADS).loads().isEmpty();
    return wasRelay && hasLoads ? NextRun.at(summedAt.plus(SUM_INTERVAL)) : NextRun.onInput();
  }

  private void addUp(Blackboard blackboard, MonotonicTime now) {
    blackboard
        .observations(ZoneRequestReceived.class)
        .forEach(
            received -> {
              ServerLoadReport report = received.request().loads();
              if (!report.loads().isEmpty()) {
                sums.add(received.request().from(), report.loads(), now.minus(report.age()));
              }
            });
    if (now.since(summedAt).compareTo(SUM_INTERVAL) < 0) {
      return;
    }
    summedAt = now;
    ServerLoads summed = sums.sum(now);
    boolean hasChanged =
        !summed.loads().isEmpty() || !blackboard.get(EngineEntries.ZONE_LOADS).loads().isEmpty();
    if (hasChanged) {
      blackboard.put(EngineEntries.ZONE_LOADS, summed);
    }
  }

  /** Takes the sums of the relay, unless those known are newer: replies may overtake each other. */
  private static void take(Blackboard blackboard, ZoneRequestEnded ended, ZoneReply reply) {
    ServerLoadReport report = reply.loads();
    // Counted from the request, so that a slow reply makes the sums older.
    MonotonicTime endedAt = ended.sentAt().minus(report.age());
    boolean isNewer = endedAt.isAfter(blackboard.get(EngineEntries.ZONE_LOADS).endedAt());
    if (reply.isRelay() && !report.loads().isEmpty() && isNewer) {
      Map<BackendServerId, ServerLoad> loads = new HashMap<>();
      report.loads().forEach(load -> loads.put(load.server(), load));
      blackboard.put(EngineEntries.ZONE_LOADS, new ServerLoads(endedAt, loads));
    }
  }
}
