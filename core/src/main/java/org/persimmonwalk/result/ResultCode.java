package org.persimmonwalk.result;

/**
 * The results that are reported to callers and operators. Their numbers and texts are documented.
 *
 * <p>The first digit of the number is the category: 1 identity, 2 admission, 3 routing, 4 outcome,
 * 5 protocol, 6 configuration and administration, 7 settings, 8 platform, 9 internal.
 */
public enum ResultCode {
  KEY_REJECTED(
      1001,
      "28P01",
      StatementState.NOT_RUN,
      "the key does not grant access to the workspace",
      "check the workspace name and the key"),
  UNKNOWN_WORKSPACE(
      1002,
      "28000",
      StatementState.NOT_RUN,
      "the workspace does not exist",
      "check the workspace name"),
  KEY_WITHDRAWN(
      1003,
      "28000",
      StatementState.NOT_RUN,
      "the key was withdrawn",
      "ask an operator for a new key"),
  GROUP_NOT_ALLOWED(
      1004,
      "3D000",
      StatementState.NOT_RUN,
      "the workspace has no access to this database",
      "check the database name"),
  KEYS_UNVERIFIED(
      1005,
      "28000",
      StatementState.NOT_RUN,
      "this entry host cannot check keys any more",
      "connect to another entry host"),
  OPERATOR_REJECTED(
      1006,
      "28P01",
      StatementState.NOT_APPLICABLE,
      "the operator token is wrong",
      "check the token"),
  TLS_REQUIRED(
      1007,
      "28000",
      StatementState.NOT_RUN,
      "this entry host accepts connections with TLS only",
      "connect with sslmode=require or stricter"),
  RATE_EXCEEDED(
      2001,
      "53400",
      StatementState.NOT_RUN,
      "the workspace has exceeded its rate limit",
      "retry later or ask for a higher rate limit"),
  QUEUE_FULL(
      2002,
      "53300",
      StatementState.NOT_RUN,
      "too many statements wait for the backend server",
      "retry later"),
  DEADLINE_UNREACHABLE(
      2003,
      "57014",
      StatementState.NOT_RUN,
      "the statement would not start before its deadline",
      "retry later"),
  TOO_MANY_CONNECTIONS(
      2004,
      "53300",
      StatementState.NOT_RUN,
      "this entry host has reached its connection limit",
      "connect to another entry host"),
  NO_CONNECTION(
      2005,
      "08001",
      StatementState.NOT_RUN,
      "no connection to the backend server could be opened in time",
      "retry"),
  NO_PRIMARY(
      3001, "25006", StatementState.NOT_RUN, "the database has no primary at present", "retry"),
  PRIMARY_UNCONFIRMED(
      3002, "25006", StatementState.NOT_RUN, "no replica confirms the primary at present", "retry"),
  POSITION_UNKNOWN(
      3003,
      "55000",
      StatementState.NOT_RUN,
      "the position of the session could not be determined in time",
      "retry or state the position"),
  NO_SERVER_WITHIN_AGE(
      3004,
      "55000",
      StatementState.NOT_RUN,
      "no backend server has data recent enough",
      "retry or accept older data"),
  NOT_READY(
      3005,
      "57P03",
      StatementState.NOT_RUN,
      "this entry host has no configuration yet",
      "retry or connect to another entry host"),
  OUTCOME_UNKNOWN(
      4001,
      "40003",
      StatementState.UNKNOWN,
      "the statement may have run",
      "read the data before you repeat it"),
  NOT_RUN(4002, "40001", StatementState.NOT_RUN, "the statement did not run", "retry"),
  ALREADY_RAN(
      4003,
      "23505",
      StatementState.RAN,
      "a statement with this idempotency key has run already",
      "read the data"),
  ANSWER_INCOMPLETE(
      4004,
      "08006",
      StatementState.NOT_RUN,
      "the answer ended early; the statement was read-only",
      "retry"),
  CANCELLED(
      4005,
      "57014",
      StatementState.NOT_RUN,
      "the statement was cancelled before it ran",
      "no action is needed"),
  STOPPING(4006, "57P01", StatementState.NOT_RUN, "this entry host is stopping", "connect again"),
  UNSUPPORTED(
      5001,
      "0A000",
      StatementState.NOT_RUN,
      "this protocol feature is not supported",
      "use plain queries"),
  MALFORMED_MESSAGE(
      5002,
      "08P01",
      StatementState.NOT_RUN,
      "a message does not follow the protocol",
      "check the driver"),
  MESSAGE_TOO_LARGE(
      5003,
      "54000",
      StatementState.NOT_RUN,
      "a message is larger than the limit",
      "send smaller messages"),
  IDLE_TIMEOUT(
      5004,
      "08P01",
      StatementState.NOT_RUN,
      "a message did not arrive completely in time",
      "check the network"),
  INVALID_PARAMETER(
      5005,
      "22023",
      StatementState.NOT_RUN,
      "a session parameter has an invalid value",
      "correct the value"),
  NOTE_MALFORMED(
      6001,
      "22023",
      StatementState.NOT_APPLICABLE,
      "the release note cannot be read",
      "correct the faults named in the message"),
  NOTE_CONFLICT(
      6002,
      "40001",
      StatementState.NOT_APPLICABLE,
      "the release note conflicts with one accepted meanwhile",
      "base it on the newest revision"),
  NOTE_INVALID(
      6003,
      "22023",
      StatementState.NOT_APPLICABLE,
      "the release note leads to an invalid configuration",
      "correct the faults named in the message"),
  NOTE_OUTCOME_UNKNOWN(
      6004,
      "40003",
      StatementState.NOT_APPLICABLE,
      "the release note may have been accepted",
      "read the history before you repeat it"),
  REQUEST_TOO_LARGE(
      6005,
      "54000",
      StatementState.NOT_APPLICABLE,
      "the request is larger than the limit",
      "send a smaller request"),
  NOT_FOUND(
      6006,
      "42704",
      StatementState.NOT_APPLICABLE,
      "the object named does not exist",
      "check the name"),
  COMMAND_LINE_INVALID(
      6007,
      "22023",
      StatementState.NOT_APPLICABLE,
      "the command line is invalid",
      "run the command with --help"),
  HOST_UNAVAILABLE(
      6008,
      "58030",
      StatementState.NOT_APPLICABLE,
      "the administration interface of an entry host does not answer",
      "check the hosts named"),
  REVISION_NOT_EVERYWHERE(
      6009,
      "55000",
      StatementState.NOT_APPLICABLE,
      "the revision is accepted but not in force at all hosts yet",
      "check the hosts named"),
  SETTING_UNREADABLE(
      7001,
      "F0000",
      StatementState.NOT_APPLICABLE,
      "the settings file cannot be read",
      "correct the file"),
  SETTING_UNKNOWN(
      7002, "F0000", StatementState.NOT_APPLICABLE, "a setting does not exist", "check its name"),
  SETTING_INVALID(
      7003,
      "F0000",
      StatementState.NOT_APPLICABLE,
      "a setting has an invalid value",
      "correct the value"),
  SETTING_MISSING(
      7004, "F0000", StatementState.NOT_APPLICABLE, "a required setting is missing", "add it"),
  TLS_FILE_INVALID(
      7005,
      "F0000",
      StatementState.NOT_APPLICABLE,
      "a certificate or key file cannot be used",
      "correct the file"),
  PLATFORM_UNAVAILABLE(
      8001,
      "58030",
      StatementState.NOT_APPLICABLE,
      "the platform's service does not answer",
      "retry later"),
  PLATFORM_ANSWER_INVALID(
      8002,
      "58030",
      StatementState.NOT_APPLICABLE,
      "the platform's service gave an invalid answer",
      "check its version"),
  INTERNAL_ERROR(
      9001,
      "XX000",
      StatementState.UNKNOWN,
      "an internal error occurred",
      "report it with the log");

  private final int number;
  private final String sqlState;
  private final StatementState statementState;
  private final String summary;
  private final String advice;

  ResultCode(
      int number, String sqlState, StatementState statementState, String summary, String advice) {
    this.number = number;
    this.sqlState = sqlState;
    this.statementState = statementState;
    this.summary = summary;
    this.advice = advice;
  }

  /** Returns the number by which documentation and messages identify the code. */
  public int number() {
    return number;
  }

  /** Returns the SQLSTATE that is reported to callers. */
  public String sqlState() {
    return sqlState;
  }

  /** Returns whether a statement with this result has run. */
  public StatementState statementState() {
    return statementState;
  }

  /** Returns the label at the start of messages, for example {@code PW-2001}. */
  public String label() {
    return "PW-" + number;
  }

  /** Returns a short description of what happened. */
  public String summary() {
    return summary;
  }

  /** Returns what the caller or operator should do. */
  public String advice() {
    return advice;
  }

  /**
   * Returns the full message text, for example {@code PW-3001: the database has no primary at
   * present; retry (not run)}.
   */
  public String message() {
    String state =
        switch (statementState) {
          case RAN -> " (ran)";
          case NOT_RUN -> " (not run)";
          case UNKNOWN -> " (outcome unknown)";
          case NOT_APPLICABLE -> "";
        };
    return label() + ": " + summary + "; " + advice + state;
  }
}
