package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.PrimaryView;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Reports in the store that this host can't reach a primary, and counts the reports of all hosts. A
 * single host may be cut off itself, so a primary counts as unreachable only when a quorum of hosts
 * reports it. Writes the unreachable primaries entry.
 */
public final class SuspicionController implements Controller {
  /**
   * How many hosts must report a primary. Fewer could all be behind one faulty switch; more would
   * delay the promotion on small fleets.
   */
  static final int QUORUM = 3;

  /** How long a report counts, in milliseconds of the store's clock. */
  static final long REPORT_VALID_MILLIS = 4000;

  /** A host that still can't reach the primary repeats its report after this time. */
  static final Duration REPORT_INTERVAL = Duration.ofMillis(2000);

  private static final String PURPOSE = "suspect";

  private final EngineSettings settings;
  private final DecisionLog log;
  private final Map<DatabaseGroupId, MonotonicTime> lastReportAt = new HashMap<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<BackendServerId, MonotonicTime> unreachableSince = new HashMap<>();
  private long serial;

  private SuspicionController(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.log = log;
  }

  /** Returns a controller that suspects no server. */
  public static SuspicionController create(EngineSettings settings, DecisionLog log) {
    return new SuspicionController(settings, log);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    blackboard
        .observations(TransactionAnswered.class)
        .filter(answer -> answer.transaction().tag().purpose().equals(PURPOSE))
        .forEach(answer -> handleAnswer(blackboard, answer, now));
    blackboard
        .observations(ServerUnreachable.class)
        .map(ServerUnreachable::server)
        .forEach(server -> reportIfDue(blackboard, server, now));
    unreachableSince.values().removeIf(since -> now.since(since).toMillis() > REPORT_VALID_MILLIS);
    if (!unreachableSince.keySet().equals(blackboard.get(EngineEntries.UNREACHABLE_PRIMARIES))) {
      blackboard.put(EngineEntries.UNREACHABLE_PRIMARIES, Set.copyOf(unreachableSince.keySet()));
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(Inputs.ofObservations(TransactionAnswered.class, ServerUnreachable.class));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    return unreachableSince.isEmpty() ? NextRun.onInput() : NextRun.inNextRound(now);
  }

  private void reportIfDue(Blackboard blackboard, ServerEntry server, MonotonicTime now) {
    boolean isPrimary =
        blackboard
            .get(EngineEntries.PRIMARIES)
            .getOrDefault(server.group(), PrimaryView.NONE)
            .at(now)
            .filter(server::sameProcess)
            .isPresent();
    MonotonicTime last = lastReportAt.get(server.group());
    boolean due = last == null || now.since(last).compareTo(REPORT_INTERVAL) > 0;
    if (isPrimary && due) {
      lastReportAt.put(server.group(), now);
      report(blackboard, server, now);
    }
  }

  private void report(Blackboard blackboard, ServerEntry server, MonotonicTime now) {
    Optional<StoreTime> time = blackboard.get(EngineEntries.STORE_TIME);
    if (time.isEmpty()) {
      return;
    }
    RowKey row = row(server.group());
    UnreachableReports reports =
        UnreachableReports.parse(KnownRows.row(blackboard, row).value(), server)
            .with(settings.host(), time.get().latest(now), REPORT_VALID_MILLIS);
    serial++;
    attempts.put(serial, new Attempt(server, reports));
    blackboard.submit(
        new RunTransaction(
            TransactionTag.of(PURPOSE, serial),
            Map.of(row, KnownRows.version(blackboard, row)),
            Map.of(row, reports.text())));
  }

  private void handleAnswer(Blackboard blackboard, TransactionAnswered answer, MonotonicTime now) {
    Attempt attempt = attempts.remove(answer.transaction().tag().serial());
    if (attempt == null) {
      return;
    }
    if (answer.result() == TransactionResult.CONFLICT) {
      report(blackboard, attempt.server(), now);
    }
    if (answer.result() == TransactionResult.APPLIED) {
      int count = attempt.reports().count();
      log.write("primary-suspected", "server", attempt.server().id(), "witnesses", count);
      if (count >= QUORUM) {
        unreachableSince.put(attempt.server().id(), now);
      }
    }
  }

  private static RowKey row(DatabaseGroupId group) {
    return RowKey.ofName("suspicion", group.value());
  }

  private record Attempt(ServerEntry server, UnreachableReports reports) {}
}
