package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides from the losses that hosts report which servers may have restarted. One host that loses
 * all its connections may have a failing link, so a second host must report the same.
 *
 * <p>Load: each reported loss, in each request until it is {@link SuspectedRestart#MAXIMUM_AGE}
 * old.
 */
final class RestartNotices {
  /** Hosts notice the end of a process at once; requests from one may arrive late. */
  private static final Duration CONFIRMATION_TIME = Duration.ofSeconds(1);

  /**
   * A process ends once. Later losses of the process that did not restart after the first are no
   * sign, so that connections that keep failing cannot take the server from a zone.
   */
  private static final Duration PROCESS_PAUSE = Duration.ofSeconds(60);

  private final Map<BackendServerId, Map<EntryHostId, SuspectedRestart>> reports = new HashMap<>();
  private final Map<BackendServerId, Suspicion> suspicions = new HashMap<>();

  /** Applies the report of a host; returns whether the restart was unknown and is suspected now. */
  boolean report(EntryHostId host, SuspectedRestart loss, MonotonicTime now) {
    if (!loss.isCurrentAt(now)) {
      return false;
    }
    Map<EntryHostId, SuspectedRestart> known =
        reports.computeIfAbsent(loss.server(), unused -> new HashMap<>());
    known.values().removeIf(old -> !old.isCurrentAt(now));
    known.put(host, loss);
    boolean isConfirmed =
        known.entrySet().stream()
            .filter(other -> !other.getKey().equals(host))
            .map(other -> loss.lostAt().since(other.getValue().lostAt()).abs())
            .anyMatch(apart -> apart.compareTo(CONFIRMATION_TIME) <= 0);
    return isConfirmed && confirm(loss, now);
  }

  /** Applies what a relay suspects; returns whether the restart was unknown. */
  boolean confirm(SuspectedRestart loss, MonotonicTime now) {
    if (!loss.isCurrentAt(now)) {
      return false;
    }
    Suspicion known = suspicions.get(loss.server());
    boolean isNew =
        known == null
            || loss.startedAtMillis() > known.restart().startedAtMillis()
            || now.since(known.firstLostAt()).compareTo(PROCESS_PAUSE) > 0;
    if (isNew) {
      suspicions.put(loss.server(), new Suspicion(loss.lostAt(), loss));
    } else if (known.isExtendedBy(loss)) {
      suspicions.put(loss.server(), new Suspicion(known.firstLostAt(), loss));
    }
    return isNew;
  }

  /** Returns the restarts that other hosts are told of. */
  Map<BackendServerId, SuspectedRestart> at(MonotonicTime now) {
    Map<BackendServerId, SuspectedRestart> current = new HashMap<>();
    suspicions.forEach(
        (server, suspicion) -> {
          if (suspicion.restart().isCurrentAt(now)) {
            current.put(server, suspicion.restart());
          }
        });
    return current;
  }

  private record Suspicion(MonotonicTime firstLostAt, SuspectedRestart restart) {

    /** Returns whether the loss is a later one of the same burst. */
    boolean isExtendedBy(SuspectedRestart loss) {
      return loss.startedAtMillis() == restart.startedAtMillis()
          && loss.lostAt().isAfter(restart.lostAt())
          && loss.lostAt().since(firstLostAt).compareTo(SuspectedRestart.MAXIMUM_AGE) < 0;
    }
  }
}
