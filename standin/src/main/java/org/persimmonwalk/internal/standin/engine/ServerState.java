package org.persimmonwalk.internal.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.Term;

/** What the blackboard of a stand-in group holds for one server. */
final class ServerState {
  /** The log starts above zero, as PostgreSQL's does. */
  private static final LogPosition START = LogPosition.of(0x100_0000);

  /** A log record and the time at which this server stored it. */
  record StoredRecord(LogRecord record, MonotonicTime storedAt) {}

  final BackendServerId id;
  final List<StoredRecord> log = new ArrayList<>();
  final Map<String, Table> tables = new HashMap<>();
  final Map<String, Session> rowLocks = new HashMap<>();
  final Set<Session> sessions = new HashSet<>();

  ServerRole role;
  Term logTerm = Term.of(1);
  Term promisedTerm = Term.of(1);
  String promisedHost = "";
  LogPosition promotedAt = START;
  BackendServerId followed;
  Term followedTerm = Term.of(1);

  int replayedRecords;
  boolean connected;
  MonotonicTime connectedSince;
  MonotonicTime lastContact;

  Duration receiveDelay = Duration.ZERO;
  Duration replayLag = Duration.ZERO;
  boolean isolated;
  boolean paused;
  boolean running = true;

  private ServerState(BackendServerId id, ServerRole role, MonotonicTime now) {
    this.id = id;
    this.role = role;
    this.connectedSince = now;
    this.lastContact = now;
  }

  static ServerState primary(BackendServerId id, MonotonicTime now) {
    return new ServerState(id, ServerRole.PRIMARY, now);
  }

  static ServerState replica(BackendServerId id, BackendServerId primary, MonotonicTime now) {
    ServerState state = new ServerState(id, ServerRole.REPLICA, now);
    state.followed = primary;
    return state;
  }

  boolean isPrimary() {
    return role == ServerRole.PRIMARY;
  }

  /** Returns whether peers can exchange messages with the server. */
  boolean reachable() {
    return running && !paused && !isolated;
  }

  LogPosition received() {
    return positionAfter(log.size());
  }

  /** Returns the term in which the last record of the log was written. */
  Term lastRecordTerm() {
    return log.isEmpty() ? Term.of(1) : log.get(log.size() - 1).record().term();
  }

  LogPosition replayed() {
    return positionAfter(replayedRecords);
  }

  private LogPosition positionAfter(int records) {
    return records == 0 ? START : log.get(records - 1).record().end();
  }

  void store(LogRecord record, MonotonicTime at) {
    log.add(new StoredRecord(record, at));
  }

  void replayNext() {
    log.get(replayedRecords).record().changes().forEach(change -> Table.apply(change, tables));
    replayedRecords++;
  }

  /** Discards the records after the first ones and the effects of the discarded ones. */
  void truncate(int records) {
    if (records == log.size()) {
      return;
    }
    log.subList(records, log.size()).clear();
    if (replayedRecords > records) {
      tables.clear();
      replayedRecords = 0;
      while (replayedRecords < records) {
        replayNext();
      }
    }
  }

  /** Returns the number of records that both logs start with. */
  int commonRecords(ServerState other) {
    int common = Math.min(log.size(), other.log.size());
    while (common > 0 && log.get(common - 1).record() != other.log.get(common - 1).record()) {
      common--;
    }
    return common;
  }
}
