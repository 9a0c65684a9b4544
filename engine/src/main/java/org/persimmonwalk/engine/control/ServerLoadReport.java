package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.Collection;
import java.util.List;

/**
 * Loads of servers as they pass between hosts, which can't compare their clocks.
 *
 * @param age the time since the end of the interval
 */
public record ServerLoadReport(Duration age, List<ServerLoad> loads) {
  /** A report without a load. */
  public static final ServerLoadReport NONE = new ServerLoadReport(Duration.ZERO, List.of());

  /** Makes the list immutable. */
  public ServerLoadReport {
    loads = List.copyOf(loads);
  }

  /**
   * Returns a report of the given loads. Their interval may end after the start of the round that
   * reports them, as another thread measures them; the age is zero then.
   */
  public static ServerLoadReport of(Duration age, Collection<ServerLoad> loads) {
    return new ServerLoadReport(age.isNegative() ? Duration.ZERO : age, List.copyOf(loads));
  }
}
