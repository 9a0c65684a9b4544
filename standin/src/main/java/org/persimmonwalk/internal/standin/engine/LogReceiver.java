package org.persimmonwalk.internal.standin.engine;

import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerRole;

/**
 * Copies records from the log of the primary to the servers that follow it, after each server's
 * receive delay.
 *
 * <p>A server that has accepted a follow command for a new term stays fenced until it first reaches
 * the primary of that term and has discarded the records that the primary lacks. Otherwise these
 * records would be reported as received in the new term.
 */
final class LogReceiver implements StateController {

  private LogReceiver() {}

  static LogReceiver create() {
    return new LogReceiver();
  }

  @Override
  public void run(GroupState state, MonotonicTime now) {
    for (ServerState server : state.servers()) {
      if (server.followedPrimary != null) {
        receive(server, state.server(server.followedPrimary), now);
      }
    }
  }

  private static void receive(ServerState server, ServerState primary, MonotonicTime now) {
    boolean connected =
        server.reachable()
            && primary.reachable()
            && primary.isPrimary()
            && primary.logTerm.equals(server.followedTerm);
    if (!connected) {
      server.connected = false;
      return;
    }
    if (!server.connected) {
      server.connected = true;
      server.connectedSince = now;
    }
    server.lastContact = now;
    if (server.role == ServerRole.FENCED) {
      server.truncate(server.commonRecords(primary));
      server.logTerm = server.followedTerm;
      server.role = ServerRole.REPLICA;
    }
    while (server.log.size() < primary.log.size()) {
      LogRecord record = primary.log.get(server.log.size()).record();
      MonotonicTime arrival = record.committedAt().plus(server.receiveDelay);
      if (arrival.isAfter(now)) {
        return;
      }
      boolean late = arrival.isBefore(server.connectedSince);
      server.store(record, late ? server.connectedSince : arrival);
    }
  }
}
