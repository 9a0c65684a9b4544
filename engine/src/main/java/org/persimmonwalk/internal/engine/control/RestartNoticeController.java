package org.persimmonwalk.internal.engine.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.EntryKey;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RestartNotice;
import org.persimmonwalk.engine.control.ServerConnectionLost;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.engine.control.TokenRequestsReceived;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.engine.traffic.TrafficMeter;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Collects the losses of connections that suggest the restart of a server, of this host and of
 * others. Does nothing unless the settings limit the requests to cold servers. Writes the own
 * losses entry and the suspected restarts entry.
 */
public final class RestartNoticeController implements Controller {
  private final EngineSettings settings;
  private final DecisionLog log;
  private final TrafficMeter meter;
  private final RestartNotices notices = new RestartNotices();

  private RestartNoticeController(EngineSettings settings, DecisionLog log, TrafficMeter meter) {
    this.settings = settings;
    this.log = log;
    this.meter = meter;
  }

  /** Returns a controller that knows no loss. */
  public static RestartNoticeController create(
      EngineSettings settings, DecisionLog log, TrafficMeter meter) {
    return new RestartNoticeController(settings, log, meter);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    if (settings.coldBounds().isEmpty()) {
      return;
    }
    MonotonicTime now = context.now();
    Map<BackendServerId, SuspectedRestart> own =
        new HashMap<>(blackboard.get(EngineEntries.OWN_LOSSES));
    own.values().removeIf(loss -> !loss.isCurrentAt(now));
    blackboard
        .observations(ServerConnectionLost.class)
        .filter(ServerConnectionLost::suggestsRestart)
        .forEach(loss -> recordOwn(blackboard, own, loss, now));
    blackboard
        .observations(ZoneRequestReceived.class)
        .map(ZoneRequestReceived::request)
        .forEach(
            request ->
                request
                    .restartNotices()
                    .forEach(
                        notice -> report(blackboard, request.from(), toRestart(notice, now), now)));
    blackboard
        .observations(ZoneRequestEnded.class)
        .forEach(
            ended ->
                ended
                    .reply()
                    .ifPresent(
                        reply ->
                            confirm(
                                blackboard,
                                ended.command().relay().host(),
                                reply.restartNotices(),
                                ended.endedAt(),
                                now)));
    blackboard
        .observations(TokenRequestsReceived.class)
        .forEach(
            received -> confirm(blackboard, received.from(), received.restartNotices(), now, now));
    blackboard
        .observations(TokenRequestsEnded.class)
        .forEach(
            ended ->
                ended
                    .reply()
                    .ifPresent(
                        reply ->
                            confirm(
                                blackboard,
                                ended.command().lender().host(),
                                reply.restartNotices(),
                                ended.endedAt(),
                                now)));
    put(blackboard, EngineEntries.OWN_LOSSES, own);
    put(blackboard, EngineEntries.SUSPECTED_RESTARTS, notices.at(now));
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(
            ServerConnectionLost.class,
            ZoneRequestReceived.class,
            ZoneRequestEnded.class,
            TokenRequestsReceived.class,
            TokenRequestsEnded.class));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    NextRun next = NextRun.onInput();
    for (EntryKey<Map<BackendServerId, SuspectedRestart>> entry :
        List.of(EngineEntries.OWN_LOSSES, EngineEntries.SUSPECTED_RESTARTS)) {
      for (SuspectedRestart restart : blackboard.get(entry).values()) {
        next = next.orAt(restart.lostAt().plus(SuspectedRestart.MAXIMUM_AGE));
      }
    }
    return next;
  }

  private void recordOwn(
      Blackboard blackboard,
      Map<BackendServerId, SuspectedRestart> own,
      ServerConnectionLost loss,
      MonotonicTime now) {
    ServerEntry server = loss.server();
    SuspectedRestart restart =
        new SuspectedRestart(server.id(), server.startedAtMillis(), loss.at());
    own.put(server.id(), restart);
    meter.count("cold-server.loss-reported");
    report(blackboard, settings.host(), restart, now);
  }

  private void report(
      Blackboard blackboard, EntryHostId host, SuspectedRestart restart, MonotonicTime now) {
    if (isRelevant(blackboard, restart) && notices.report(host, restart, now)) {
      recordSuspicion(host, restart, now);
    }
  }

  /** Applies what the relay of this zone or of another one suspects. */
  private void confirm(
      Blackboard blackboard,
      EntryHostId relay,
      List<RestartNotice> received,
      MonotonicTime arrivedAt,
      MonotonicTime now) {
    for (RestartNotice notice : received) {
      SuspectedRestart restart = toRestart(notice, arrivedAt);
      if (isRelevant(blackboard, restart) && notices.confirm(restart, now)) {
        recordSuspicion(relay, restart, now);
      }
    }
  }

  /** Counts the age from the arrival, so that no loss is taken for an earlier one than it was. */
  private static SuspectedRestart toRestart(RestartNotice notice, MonotonicTime arrivedAt) {
    return new SuspectedRestart(
        notice.server(), notice.startedAtMillis(), arrivedAt.minus(notice.age()));
  }

  /** Returns whether the process is the listed one or a later one, of a group with cold bounds. */
  private static boolean isRelevant(Blackboard blackboard, SuspectedRestart restart) {
    ServerEntry listed = blackboard.get(EngineEntries.SERVERS).get(restart.server());
    if (listed == null || listed.startedAtMillis() > restart.startedAtMillis()) {
      return false;
    }
    GroupSettings group = blackboard.get(EngineEntries.CONFIGURATION).groups().get(listed.group());
    return group != null && group.startsCold();
  }

  private void recordSuspicion(EntryHostId from, SuspectedRestart restart, MonotonicTime now) {
    meter.count("cold-server.restart-suspected");
    log.write(
        "restart-suspected",
        "server",
        restart.server(),
        "from",
        from,
        "ageMs",
        now.since(restart.lostAt()).toMillis());
  }

  private static void put(
      Blackboard blackboard,
      EntryKey<Map<BackendServerId, SuspectedRestart>> entry,
      Map<BackendServerId, SuspectedRestart> restarts) {
    if (!restarts.equals(blackboard.get(entry))) {
      blackboard.put(entry, Map.copyOf(restarts));
    }
  }
}
