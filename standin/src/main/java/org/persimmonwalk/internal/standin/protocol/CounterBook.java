package org.persimmonwalk.internal.standin.protocol;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Counts what callers do to one server; any thread may use it. */
public final class CounterBook {
  private final Map<String, Long> statementsByUser = new TreeMap<>();
  private final Set<String> passwords = new HashSet<>();
  private final Set<Map<String, String>> startups = new HashSet<>();
  private int connections;
  private int highestConnections;
  private long statements;
  private int highestConcurrency;

  private CounterBook() {}

  /** Returns counters at zero. */
  public static CounterBook create() {
    return new CounterBook();
  }

  /** The readings at one time. */
  public record Reading(
      int connections,
      int highestConnections,
      long statements,
      int highestConcurrentStatements,
      Map<String, Long> statementsByUser,
      Set<String> passwords,
      Set<Map<String, String>> startupParameters) {}

  /** Returns the readings now. */
  public synchronized Reading read() {
    return new Reading(
        connections,
        highestConnections,
        statements,
        highestConcurrency,
        Map.copyOf(statementsByUser),
        Set.copyOf(passwords),
        Set.copyOf(startups));
  }

  /** Counts a connection unless the limit is reached, and returns whether it was counted. */
  synchronized boolean tryOpen(int limit) {
    if (connections >= limit) {
      return false;
    }
    connections++;
    highestConnections = Math.max(highestConnections, connections);
    return true;
  }

  synchronized void closed() {
    connections--;
  }

  synchronized void started(Map<String, String> parameters) {
    startups.add(Map.copyOf(parameters));
  }

  synchronized void passwordSeen(String password) {
    passwords.add(password);
  }

  synchronized void statementRun(String user) {
    statements++;
    statementsByUser.merge(user, 1L, Long::sum);
  }

  /** Notes the number of occupied slots. */
  public synchronized void concurrent(int occupiedSlots) {
    highestConcurrency = Math.max(highestConcurrency, occupiedSlots);
  }
}
