package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The network links between machines, which are the hosts, the servers and the platform. A link is
 * open or cut, and its one-way latency is 1.5 ms unless a test sets another.
 */
public final class FakeLinks {
  /** The name of the platform as one of the machines. */
  public static final String PLATFORM = "platform";

  private static final Duration DEFAULT_LATENCY = Duration.ofNanos(1_500_000);

  private final Set<Set<String>> cuts = new HashSet<>();
  private final Set<String> isolated = new HashSet<>();
  private final Map<Set<String>, Duration> latencies = new HashMap<>();

  /** Cuts the link between two machines. */
  public void cut(String first, String second) {
    cuts.add(Set.of(first, second));
  }

  /** Opens the link between two machines again. */
  public void restore(String first, String second) {
    cuts.remove(Set.of(first, second));
  }

  /** Cuts a machine off from all others. */
  public void isolate(String machine) {
    isolated.add(machine);
  }

  /** Ends the isolation of a machine; links that were cut one by one stay cut. */
  public void heal(String machine) {
    isolated.remove(machine);
  }

  /** Sets the one-way latency between two machines. */
  public void setLatency(String first, String second, Duration latency) {
    latencies.put(Set.of(first, second), latency);
  }

  boolean isOpen(String first, String second) {
    return !isolated.contains(first)
        && !isolated.contains(second)
        && !cuts.contains(Set.of(first, second));
  }

  Duration latency(String first, String second) {
    return latencies.getOrDefault(Set.of(first, second), DEFAULT_LATENCY);
  }
}
