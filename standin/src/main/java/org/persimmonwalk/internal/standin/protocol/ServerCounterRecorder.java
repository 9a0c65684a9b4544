package org.persimmonwalk.internal.standin.protocol;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Records what callers send to one server, for the tests' assertions. Thread-safe. */
public final class ServerCounterRecorder {
  private final Map<String, Long> statementsByUser = new TreeMap<>();
  private final Set<String> passwords = new HashSet<>();
  private final Set<Map<String, String>> startupParameters = new HashSet<>();
  private int connections;
  private int highestConnections;
  private long statements;
  private int highestConcurrency;

  private ServerCounterRecorder() {}

  /** Returns a recorder that has recorded nothing. */
  public static ServerCounterRecorder create() {
    return new ServerCounterRecorder();
  }

  /** The values of all counters at one moment. */
  public record Values(
      int connections,
      int highestConnections,
      long statements,
      int highestConcurrentStatements,
      Map<String, Long> statementsByUser,
      Set<String> passwords,
      Set<Map<String, String>> startupParameters) {}

  /** Returns the current values. */
  public synchronized Values read() {
    return new Values(
        connections,
        highestConnections,
        statements,
        highestConcurrency,
        Map.copyOf(statementsByUser),
        Set.copyOf(passwords),
        Set.copyOf(startupParameters));
  }

  /** Counts a connection as open and returns true, or returns false if the limit is reached. */
  synchronized boolean tryCountConnection(int limit) {
    if (connections >= limit) {
      return false;
    }
    connections++;
    highestConnections = Math.max(highestConnections, connections);
    return true;
  }

  synchronized void recordClosedConnection() {
    connections--;
  }

  synchronized void recordStartup(Map<String, String> parameters) {
    startupParameters.add(Map.copyOf(parameters));
  }

  synchronized void recordPassword(String password) {
    passwords.add(password);
  }

  synchronized void recordStatement(String user) {
    statements++;
    statementsByUser.merge(user, 1L, Long::sum);
  }

  /** Records the number of execution slots that are occupied now. */
  public synchronized void recordOccupiedSlots(int occupiedSlots) {
    highestConcurrency = Math.max(highestConcurrency, occupiedSlots);
  }
}
