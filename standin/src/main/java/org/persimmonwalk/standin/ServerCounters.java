package org.persimmonwalk.standin;

import java.util.Map;
import java.util.Set;
import org.persimmonwalk.internal.standin.protocol.ServerCounterRecorder;

/**
 * The connections and statements at a stand-in server since it started.
 *
 * @param connections the connections that are open now
 * @param highestConnections the highest number of connections open at once
 * @param statements the statements submitted, including those that failed
 * @param highestConcurrentStatements the highest number of slots occupied at once
 * @param statementsByUser the statements by the user that the start-up message names
 * @param passwords the distinct passwords received
 * @param startupParameters the distinct parameter sets of the start-up messages
 */
public record ServerCounters(
    int connections,
    int highestConnections,
    long statements,
    int highestConcurrentStatements,
    Map<String, Long> statementsByUser,
    Set<String> passwords,
    Set<Map<String, String>> startupParameters) {

  /** Copies the collections. */
  public ServerCounters {
    statementsByUser = Map.copyOf(statementsByUser);
    passwords = Set.copyOf(passwords);
    startupParameters = Set.copyOf(startupParameters);
  }

  static ServerCounters of(ServerCounterRecorder.Values values) {
    return new ServerCounters(
        values.connections(),
        values.highestConnections(),
        values.statements(),
        values.highestConcurrentStatements(),
        values.statementsByUser(),
        values.passwords(),
        values.startupParameters());
  }
}
