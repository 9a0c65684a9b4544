package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Links between named machines: each is open, cut, or slower than the usual 1.5 ms one way. */
public final class FakeLinks {
  /** The name of the platform in cuts and delays. */
  public static final String PLATFORM = "platform";

  private static final Duration LATENCY = Duration.ofNanos(1_500_000);

  private final Set<Set<String>> cuts = new HashSet<>();
  private final Set<String> isolated = new HashSet<>();
  private final Map<Set<String>, Duration> delays = new HashMap<>();

  /** Cuts the link between two machines. */
  public void cut(String first, String second) {
    cuts.add(Set.of(first, second));
  }

  /** Opens the link between two machines. */
  public void join(String first, String second) {
    cuts.remove(Set.of(first, second));
  }

  /** Cuts a machine off from all others. */
  public void isolate(String machine) {
    isolated.add(machine);
  }

  /** Ends the isolation of a machine. */
  public void heal(String machine) {
    isolated.remove(machine);
  }

  /** Sets the time one way between two machines. */
  public void slow(String first, String second, Duration latency) {
    delays.put(Set.of(first, second), latency);
  }

  boolean isOpen(String first, String second) {
    return !isolated.contains(first)
        && !isolated.contains(second)
        && !cuts.contains(Set.of(first, second));
  }

  Duration latency(String first, String second) {
    return delays.getOrDefault(Set.of(first, second), LATENCY);
  }
}
