package org.persimmonwalk.result;

/**
 * Numbered results that callers and operators see.
 *
 * <p>The first digit of the number groups the codes: 1 identity, 2 admission, 3 routing, 4 outcome,
 * 5 protocol, 6 configuration and administration, 7 settings, 8 platform.
 */
public enum ResultCode {
  KEY_REJECTED(1001, "28P01", StatementState.NOT_RUN),
  UNKNOWN_WORKSPACE(1002, "28000", StatementState.NOT_RUN),
  KEY_WITHDRAWN(1003, "28000", StatementState.NOT_RUN),
  GROUP_NOT_ALLOWED(1004, "3D000", StatementState.NOT_RUN),
  KEYS_UNVERIFIED(1005, "28000", StatementState.NOT_RUN),
  OPERATOR_REJECTED(1006, "28P01", StatementState.NOT_APPLICABLE),
  RATE_EXCEEDED(2001, "53400", StatementState.NOT_RUN),
  QUEUE_FULL(2002, "53300", StatementState.NOT_RUN),
  DEADLINE_UNREACHABLE(2003, "57014", StatementState.NOT_RUN),
  TOO_MANY_CONNECTIONS(2004, "53300", StatementState.NOT_RUN),
  NO_CONNECTION(2005, "08001", StatementState.NOT_RUN),
  NO_PRIMARY(3001, "25006", StatementState.NOT_RUN),
  PRIMARY_UNCONFIRMED(3002, "25006", StatementState.NOT_RUN),
  POSITION_UNKNOWN(3003, "55000", StatementState.NOT_RUN),
  NO_SERVER_WITHIN_AGE(3004, "55000", StatementState.NOT_RUN),
  NOT_READY(3005, "57P03", StatementState.NOT_RUN),
  OUTCOME_UNKNOWN(4001, "40003", StatementState.UNKNOWN),
  NOT_RUN(4002, "40001", StatementState.NOT_RUN),
  ALREADY_RAN(4003, "23505", StatementState.RAN),
  ANSWER_INCOMPLETE(4004, "08006", StatementState.NOT_RUN),
  CANCELLED(4005, "57014", StatementState.NOT_RUN),
  STOPPING(4006, "57P01", StatementState.NOT_RUN),
  UNSUPPORTED(5001, "0A000", StatementState.NOT_RUN),
  MALFORMED_MESSAGE(5002, "08P01", StatementState.NOT_RUN),
  MESSAGE_TOO_LARGE(5003, "54000", StatementState.NOT_RUN),
  IDLE_TIMEOUT(5004, "08P01", StatementState.NOT_RUN),
  INVALID_PARAMETER(5005, "22023", StatementState.NOT_RUN),
  NOTE_MALFORMED(6001, "22023", StatementState.NOT_APPLICABLE),
  NOTE_CONFLICT(6002, "40001", StatementState.NOT_APPLICABLE),
  NOTE_INVALID(6003, "22023", StatementState.NOT_APPLICABLE),
  NOTE_OUTCOME_UNKNOWN(6004, "40003", StatementState.NOT_APPLICABLE),
  REQUEST_TOO_LARGE(6005, "54000", StatementState.NOT_APPLICABLE),
  NOT_FOUND(6006, "42704", StatementState.NOT_APPLICABLE),
  COMMAND_LINE_INVALID(6007, "22023", StatementState.NOT_APPLICABLE),
  SETTING_UNREADABLE(7001, "F0000", StatementState.NOT_APPLICABLE),
  SETTING_UNKNOWN(7002, "F0000", StatementState.NOT_APPLICABLE),
  SETTING_INVALID(7003, "F0000", StatementState.NOT_APPLICABLE),
  SETTING_MISSING(7004, "F0000", StatementState.NOT_APPLICABLE),
  PLATFORM_UNAVAILABLE(8001, "58030", StatementState.NOT_APPLICABLE),
  PLATFORM_ANSWER_INVALID(8002, "58030", StatementState.NOT_APPLICABLE),
  INTERNAL_ERROR(9001, "XX000", StatementState.UNKNOWN);

  private final int number;
  private final String sqlState;
  private final StatementState statementState;

  ResultCode(int number, String sqlState, StatementState statementState) {
    this.number = number;
    this.sqlState = sqlState;
    this.statementState = statementState;
  }

  /** Returns the number that documentation and messages use. */
  public int number() {
    return number;
  }

  /** Returns the SQLSTATE that callers see. */
  public String sqlState() {
    return sqlState;
  }

  /** Returns what the code says about the statement. */
  public StatementState statementState() {
    return statementState;
  }

  /** Returns the code in the form that messages begin with, for example {@code PW-2001}. */
  public String label() {
    return "PW-" + number;
  }
}
