package org.persimmonwalk.internal.standin.engine;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.id.BackendServerId;

/** A connection's state at a server: its session parameters and its open transaction. */
public final class Session {
  private static final Map<String, String> DEFAULTS =
      Map.of(
          "application_name", "",
          "client_encoding", "UTF8",
          "datestyle", "ISO, MDY",
          "default_transaction_read_only", "off",
          "extra_float_digits", "1",
          "server_version", "16.0",
          "standard_conforming_strings", "on",
          "timezone", "UTC",
          "transaction_isolation", "read committed");

  private final BackendServerId server;
  private final Map<String, String> initial;
  private final Map<String, String> parameters;
  private Transaction transaction;
  private boolean failed;
  private boolean terminated;

  private Session(BackendServerId server, Map<String, String> initial) {
    this.server = server;
    this.initial = initial;
    this.parameters = new HashMap<>(initial);
  }

  /** Returns a session whose start-up message had the given parameters. */
  static Session open(BackendServerId server, Map<String, String> startup) {
    Map<String, String> initial = new HashMap<>(DEFAULTS);
    startup.forEach((name, value) -> initial.put(name.toLowerCase(java.util.Locale.ROOT), value));
    return new Session(server, initial);
  }

  /** Returns the server to which the session is connected. */
  public BackendServerId server() {
    return server;
  }

  /** Returns whether a transaction opened by BEGIN is open, failed or not. */
  public boolean inTransaction() {
    return transaction != null;
  }

  /** Returns whether the open transaction has failed and can only be rolled back. */
  public boolean failed() {
    return failed;
  }

  /** Returns whether the server has terminated the session; its statements fail with 57P01. */
  public boolean terminated() {
    return terminated;
  }

  Transaction transaction() {
    return transaction;
  }

  String parameter(String name) {
    String value = parameters.get(name);
    if (value == null) {
      throw SqlException.of("42704", "unrecognized configuration parameter \"" + name + "\"");
    }
    return value;
  }

  /** Sets a parameter; a null value restores the value that it had at the start. */
  void set(String name, String value) {
    if (value != null) {
      parameters.put(name, value);
    } else if (initial.containsKey(name)) {
      parameters.put(name, initial.get(name));
    } else {
      parameters.remove(name);
    }
  }

  void resetParameters() {
    parameters.clear();
    parameters.putAll(initial);
  }

  boolean readOnlyByDefault() {
    String value = parameter("default_transaction_read_only");
    return value.equalsIgnoreCase("on") || value.equalsIgnoreCase("true") || value.equals("1");
  }

  void begin(boolean readOnly) {
    transaction = Transaction.create(readOnly);
    failed = false;
  }

  void endTransaction() {
    transaction = null;
    failed = false;
  }

  void failTransaction() {
    failed = transaction != null;
  }

  void terminate() {
    terminated = true;
  }
}
