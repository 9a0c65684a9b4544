package org.persimmonwalk.internal.traffic.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.traffic.backend.BackendConnection;
import org.persimmonwalk.internal.traffic.backend.ServerPool;
import org.persimmonwalk.internal.traffic.backend.SessionSettings;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.routing.StatementKind;
import org.persimmonwalk.wire.TransactionStatus;

/**
 * The session state of one caller: its identity, parameters, SET statements and open transaction.
 * Used on the event loop of the caller only.
 */
final class CallerState {
  private static final int MAXIMUM_SETTINGS = 64;

  private final WorkspaceId workspace;
  private final Optional<KeyHash> key;
  private final DatabaseGroupId group;
  private final HostParameters parameters;
  private final List<String> settings = new ArrayList<>();
  private Optional<Transaction> transaction = Optional.empty();
  private TransactionStatus status = TransactionStatus.IDLE;

  private CallerState(
      WorkspaceId workspace,
      Optional<KeyHash> key,
      DatabaseGroupId group,
      HostParameters parameters) {
    this.workspace = workspace;
    this.key = key;
    this.group = group;
    this.parameters = parameters;
  }

  static CallerState of(
      WorkspaceId workspace,
      Optional<KeyHash> key,
      DatabaseGroupId group,
      HostParameters parameters) {
    return new CallerState(workspace, key, group, parameters);
  }

  /** An open transaction and the connection that it holds. */
  record Transaction(BackendConnection connection, ServerPool pool, StatementKind kind) {}

  HostParameters parameters() {
    return parameters;
  }

  DatabaseGroupId group() {
    return group;
  }

  Optional<Transaction> transaction() {
    return transaction;
  }

  TransactionStatus status() {
    return status;
  }

  /** Records the transaction status after an answer, and the transaction if one is open. */
  void setStatus(TransactionStatus newStatus, Optional<Transaction> newTransaction) {
    status = newStatus;
    transaction = newTransaction;
  }

  /** Returns whether the caller's transaction was lost and the caller has not ended it yet. */
  boolean hasLostTransaction() {
    return status == TransactionStatus.FAILED && transaction.isEmpty();
  }

  /**
   * Records a SET statement, which then runs on each backend connection that the caller uses.
   *
   * @throws PersimmonwalkException if there are too many settings
   */
  void addSetting(String statement) {
    String text = statement.strip();
    settings.remove(text);
    if (settings.size() >= MAXIMUM_SETTINGS) {
      throw PersimmonwalkException.of(
          ResultCode.UNSUPPORTED,
          "more than " + MAXIMUM_SETTINGS + " SET statements; use DISCARD ALL to reset them");
    }
    settings.add(text);
  }

  void clearSettings() {
    settings.clear();
  }

  /** Returns the settings that a backend connection needs for statements of the given kind. */
  SessionSettings connectionSettings(StatementKind kind) {
    List<String> statements = new ArrayList<>();
    statements.add(
        "SET default_transaction_read_only = " + (kind == StatementKind.READ ? "on" : "off"));
    statements.addAll(settings);
    return SessionSettings.of(this, statements);
  }

  /** Returns a request for a batch and clears the idempotency key, which is part of it. */
  StatementRequest request(StatementKind kind, MonotonicTime arrivedAt, MonotonicTime deadline) {
    return new StatementRequest(
        workspace,
        key,
        group,
        kind,
        parameters.minimumPosition(),
        parameters.maximumAge(),
        parameters.takeIdempotencyKey(),
        arrivedAt,
        deadline);
  }
}
