package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.PrimaryView;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.ServerSilent;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Collects in the store which hosts cannot reach a primary. One host alone may be cut off itself,
 * so a primary counts as unreachable only when several say so. Owns the unreachable primaries
 * entry.
 */
public final class SuspicionController implements Controller {
  /** Fewer could share one faulty switch; more would delay the promotion on small fleets. */
  static final int WITNESSES = 3;

  /** A statement of another host counts for this long, in milliseconds of the store's clock. */
  static final long WITNESS_MILLIS = 4000;

  /** A host that still cannot reach the primary repeats its statement after this time. */
  static final Duration REPEAT = Duration.ofMillis(2000);

  private static final String PURPOSE = "suspect";

  private final EngineSettings settings;
  private final DecisionLog log;
  private final Map<DatabaseGroupId, MonotonicTime> stated = new HashMap<>();
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<BackendServerId, MonotonicTime> unreachable = new HashMap<>();
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
        .forEach(answer -> finish(blackboard, answer, now));
    blackboard
        .observations(ServerSilent.class)
        .map(ServerSilent::server)
        .forEach(server -> suspect(blackboard, server, now));
    unreachable.values().removeIf(since -> now.since(since).toMillis() > WITNESS_MILLIS);
    Set<BackendServerId> servers = new HashSet<>(unreachable.keySet());
    if (!servers.equals(blackboard.get(EngineEntries.UNREACHABLE_PRIMARIES))) {
      blackboard.put(EngineEntries.UNREACHABLE_PRIMARIES, Set.copyOf(servers));
    }
  }

  private void suspect(Blackboard blackboard, ServerEntry server, MonotonicTime now) {
    boolean isPrimary =
        blackboard
            .get(EngineEntries.PRIMARIES)
            .getOrDefault(server.group(), PrimaryView.NONE)
            .at(now)
            .filter(server::sameProcess)
            .isPresent();
    MonotonicTime last = stated.get(server.group());
    boolean due = last == null || now.since(last).compareTo(REPEAT) > 0;
    if (isPrimary && due) {
      stated.put(server.group(), now);
      state(blackboard, server, now);
    }
  }

  private void state(Blackboard blackboard, ServerEntry server, MonotonicTime now) {
    Optional<StoreTime> time = blackboard.get(EngineEntries.STORE_TIME);
    if (time.isEmpty()) {
      return;
    }
    RowKey row = row(server.group());
    Witnesses witnesses =
        Witnesses.parse(Expectations.known(blackboard, row).value(), server)
            .with(settings.host(), time.get().latest(now), WITNESS_MILLIS);
    serial++;
    attempts.put(serial, new Attempt(server, witnesses));
    blackboard.submit(
        new RunTransaction(
            TransactionTag.of(PURPOSE, serial),
            Map.of(row, Expectations.version(blackboard, row)),
            Map.of(row, witnesses.text())));
  }

  private void finish(Blackboard blackboard, TransactionAnswered answer, MonotonicTime now) {
    Attempt attempt = attempts.remove(answer.transaction().tag().serial());
    if (attempt == null) {
      return;
    }
    if (answer.result() == TransactionResult.CONFLICT) {
      state(blackboard, attempt.server(), now);
    }
    if (answer.result() == TransactionResult.APPLIED) {
      int count = attempt.witnesses().count();
      log.write("primary-suspected", "server", attempt.server().id(), "witnesses", count);
      if (count >= WITNESSES) {
        unreachable.put(attempt.server().id(), now);
      }
    }
  }

  private static RowKey row(DatabaseGroupId group) {
    return RowKey.of("suspicion", group.value());
  }

  private record Attempt(ServerEntry server, Witnesses witnesses) {}
}
