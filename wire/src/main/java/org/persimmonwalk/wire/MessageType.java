package org.persimmonwalk.wire;

/**
 * Type bytes of the messages of the PostgreSQL v3 protocol: first those that a client sends, then
 * those that a server sends.
 */
public final class MessageType {
  /** Stands for the messages of the start-up phase, which have no type byte. */
  public static final byte STARTUP = 0;

  public static final byte PASSWORD = 'p';
  public static final byte QUERY = 'Q';
  public static final byte PARSE = 'P';
  public static final byte BIND = 'B';
  public static final byte DESCRIBE = 'D';
  public static final byte EXECUTE = 'E';
  public static final byte CLOSE = 'C';
  public static final byte SYNC = 'S';
  public static final byte FLUSH = 'H';
  public static final byte TERMINATE = 'X';
  public static final byte FUNCTION_CALL = 'F';
  public static final byte COPY_DATA = 'd';
  public static final byte COPY_DONE = 'c';
  public static final byte COPY_FAIL = 'f';

  public static final byte AUTHENTICATION = 'R';
  public static final byte PARAMETER_STATUS = 'S';
  public static final byte BACKEND_KEY_DATA = 'K';
  public static final byte READY_FOR_QUERY = 'Z';
  public static final byte ROW_DESCRIPTION = 'T';
  public static final byte DATA_ROW = 'D';
  public static final byte COMMAND_COMPLETE = 'C';
  public static final byte ERROR_RESPONSE = 'E';
  public static final byte NOTICE_RESPONSE = 'N';
  public static final byte NOTIFICATION_RESPONSE = 'A';
  public static final byte PARSE_COMPLETE = '1';
  public static final byte BIND_COMPLETE = '2';
  public static final byte CLOSE_COMPLETE = '3';
  public static final byte NO_DATA = 'n';
  public static final byte PORTAL_SUSPENDED = 's';
  public static final byte PARAMETER_DESCRIPTION = 't';
  public static final byte EMPTY_QUERY_RESPONSE = 'I';
  public static final byte COPY_IN_RESPONSE = 'G';
  public static final byte COPY_OUT_RESPONSE = 'H';
  public static final byte COPY_BOTH_RESPONSE = 'W';

  private MessageType() {}
}
