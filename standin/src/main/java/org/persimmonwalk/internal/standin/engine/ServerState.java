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

/** The state of one server on the blackboard of a stand-in group. */
final class ServerState {
  /** The log starts above zero, as PostgreSQL's does. */
  private static final LogPosition START = LogPosition.of(0x100_0000);

  /** A log record and the time at which this server stored it. */
  record StoredRecord(LogRecord record, MonotonicTime storedAt) {}

  final BackendServerId id;
  final List<StoredRecord> log = new ArrayList<>();
  final Map<String, Table> tables = new HashMap<>();

  /** The session that holds each locked row, by table and primary key. */
  final Map<String, Session> rowLocks = new HashMap<>();

  final Set<Session> sessions = new HashSet<>();

  ServerRole role;

  /** The term of the primary that this server is, or that it last received the log of. */
  Term logTerm = Term.of(1);

  /** The highest term promised by a fence or seen in a follow command. */
  Term promisedTerm = Term.of(1);

  /** The entry host to which {@link #promisedTerm} is promised; empty if to none. */
  String promisedHost = "";

  /** The end of the log when this server was last promoted. */
  LogPosition promotionPosition = START;

  /** The server whose log this one receives; null for a primary and after a fence. */
  BackendServerId followedPrimary;

  /** The term in which the followed server has to be primary for this one to receive its log. */
  Term followedTerm = Term.of(1);

  /** How many records of the log have been applied to the tables. */
  int replayedRecords;

  /** Whether the server receives the log of the primary that it follows. */
  boolean connected;

  /** When the server last connected to the primary; records due before are stored at this time. */
  MonotonicTime connectedSince;

  /** When the server was last connected to the primary. */
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
    state.followedPrimary = primary;
    return state;
  }

  boolean isPrimary() {
    return role == ServerRole.PRIMARY;
  }

  /** Returns whether the server can exchange messages with other servers of the group. */
  boolean reachable() {
    return running && !paused && !isolated;
  }

  /** Returns the position after the last record of the log. */
  LogPosition received() {
    return positionAfter(log.size());
  }

  /** Returns the term in which the last record of the log was written. */
  Term lastRecordTerm() {
    return log.isEmpty() ? Term.of(1) : log.get(log.size() - 1).record().term();
  }

  /** Returns the position after the last record that reads can see. */
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

  /**
   * Keeps the given number of records and discards the rest. If a discarded record was replayed,
   * the tables are rebuilt from the remaining log.
   */
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

  /** Returns the length, in records, of the prefix that both logs share. */
  int commonRecords(ServerState other) {
    int common = Math.min(log.size(), other.log.size());
    while (common > 0 && log.get(common - 1).record() != other.log.get(common - 1).record()) {
      common--;
    }
    return common;
  }
}
