package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A server that may have restarted, as this host or others lost their connections to it.
 *
 * @param startedAtMillis the start of the process to which connections were lost, as in its entry
 * @param lostAt when the connections were lost
 */
public record SuspectedRestart(BackendServerId server, long startedAtMillis, MonotonicTime lostAt) {
  /**
   * How old a loss may be to be told to other hosts. By then they have read a server list that
   * shows the restart: a heartbeat, the interval of the lists and an exchange take 3.5 s.
   */
  public static final Duration MAXIMUM_AGE = Duration.ofMillis(3500);

  /** Returns whether other hosts are told of the loss. */
  public boolean isCurrentAt(MonotonicTime now) {
    return now.since(lostAt).compareTo(MAXIMUM_AGE) < 0;
  }

  /**
   * Returns the notices to send now. Another thread notices a loss, which may be later than the
   * start of the round that reports it; the age is zero then.
   */
  public static List<RestartNotice> notices(
      Map<BackendServerId, SuspectedRestart> restarts, MonotonicTime now) {
    return restarts.values().stream()
        .filter(restart -> restart.isCurrentAt(now))
        .map(
            restart -> {
              Duration age = now.since(restart.lostAt());
              return new RestartNotice(
                  restart.server(),
                  restart.startedAtMillis(),
                  age.isNegative() ? Duration.ZERO : age);
            })
        .toList();
  }
}
