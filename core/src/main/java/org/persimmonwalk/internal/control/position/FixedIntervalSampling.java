package org.persimmonwalk.internal.control.position;

import java.time.Duration;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.EntryKey;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.SampleServer;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.MonotonicTime;

/** Samples every backend server at a fixed interval; the baseline of sampling on demand. */
public final class FixedIntervalSampling implements Controller {
  private static final EntryKey<MonotonicTime> NEXT =
      EntryKey.of("fixed interval sampling", MonotonicTime.of(Long.MIN_VALUE / 2));

  private final Duration interval;

  private FixedIntervalSampling(Duration interval) {
    this.interval = interval;
  }

  /** Returns a controller with the given interval between samples. */
  public static FixedIntervalSampling of(Duration interval) {
    return new FixedIntervalSampling(interval);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    if (context.now().compareTo(blackboard.get(NEXT)) < 0) {
      return;
    }
    blackboard.put(NEXT, context.now().plus(interval));
    for (DatabaseGroup group : blackboard.get(Entries.CONFIGURATION).groups().values()) {
      group.servers().forEach(server -> blackboard.submit(new SampleServer(server)));
    }
  }
}
