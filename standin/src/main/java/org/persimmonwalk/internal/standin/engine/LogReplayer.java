package org.persimmonwalk.internal.standin.engine;

import org.persimmonwalk.model.MonotonicTime;

/** Applies received records to the tables of each server, after its replay lag. */
final class LogReplayer implements StateController {

  private LogReplayer() {}

  static LogReplayer create() {
    return new LogReplayer();
  }

  @Override
  public void run(GroupState state, MonotonicTime now) {
    for (ServerState server : state.servers()) {
      if (server.running && !server.paused) {
        replay(server, now);
      }
    }
  }

  private static void replay(ServerState server, MonotonicTime now) {
    while (server.replayedRecords < server.log.size()) {
      MonotonicTime storedAt = server.log.get(server.replayedRecords).storedAt();
      if (!server.isPrimary() && storedAt.plus(server.replayLag).isAfter(now)) {
        return;
      }
      server.replayNext();
    }
  }
}
