package org.persimmonwalk.internal.standin.engine;

import org.persimmonwalk.model.MonotonicTime;

/** Makes received records visible after the replay lag of each server. */
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
