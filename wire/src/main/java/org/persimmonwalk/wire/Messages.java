package org.persimmonwalk.wire;

import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Builds the messages that persimmonwalk sends to callers and backend servers. */
public final class Messages {
  private static final int AUTHENTICATION_OK = 0;
  private static final int AUTHENTICATION_CLEARTEXT = 3;
  private static final int TEXT_TYPE_OID = 25;
  private static final int VARIABLE_SIZE = -1;

  private final ByteBufAllocator allocator;

  private Messages(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** Returns a builder that allocates buffers from the allocator. */
  public static Messages of(ByteBufAllocator allocator) {
    return new Messages(allocator);
  }

  /** Returns the start-up message that opens a session. */
  public Frame startup(Map<String, String> parameters) {
    FrameWriter writer = writer(MessageType.STARTUP).intValue(StartupRequest.PROTOCOL_VERSION);
    parameters.forEach((name, value) -> writer.string(name).string(value));
    return writer.byteValue(0).toFrame();
  }

  /** Returns a request to cancel the statement of another connection. */
  public Frame cancel(int processId, int secret) {
    return writer(MessageType.STARTUP)
        .intValue(StartupRequest.CANCEL_CODE)
        .intValue(processId)
        .intValue(secret)
        .toFrame();
  }

  /** Returns a password message. */
  public Frame password(String password) {
    return writer(MessageType.PASSWORD).string(password).toFrame();
  }

  /** Returns a request for a clear-text password. */
  public Frame authenticationCleartext() {
    return writer(MessageType.AUTHENTICATION).intValue(AUTHENTICATION_CLEARTEXT).toFrame();
  }

  /** Returns the message that ends authentication. */
  public Frame authenticationOk() {
    return writer(MessageType.AUTHENTICATION).intValue(AUTHENTICATION_OK).toFrame();
  }

  /** Returns a parameter status message. */
  public Frame parameterStatus(String name, String value) {
    return writer(MessageType.PARAMETER_STATUS).string(name).string(value).toFrame();
  }

  /** Returns the key that a client needs to cancel statements of this connection. */
  public Frame backendKeyData(int processId, int secret) {
    return writer(MessageType.BACKEND_KEY_DATA).intValue(processId).intValue(secret).toFrame();
  }

  /** Returns the ready-for-query message, which ends the response to a request. */
  public Frame readyForQuery(TransactionStatus status) {
    return writer(MessageType.READY_FOR_QUERY).byteValue(status.code()).toFrame();
  }

  /** Returns a simple query. */
  public Frame query(String statement) {
    return writer(MessageType.QUERY).string(statement).toFrame();
  }

  /** Returns a sync message. */
  public Frame sync() {
    return empty(MessageType.SYNC);
  }

  /** Returns a terminate message. */
  public Frame terminate() {
    return empty(MessageType.TERMINATE);
  }

  /** Returns the parameter description of a statement without parameters. */
  public Frame noParameters() {
    return writer(MessageType.PARAMETER_DESCRIPTION).shortValue(0).toFrame();
  }

  /** Returns a message without fields. */
  public Frame empty(byte type) {
    return writer(type).toFrame();
  }

  /** Returns an error response. */
  public Frame error(ErrorFields fields) {
    return writer(MessageType.ERROR_RESPONSE)
        .byteValue('S')
        .string(fields.severity())
        .byteValue('V')
        .string(fields.severity())
        .byteValue('C')
        .string(fields.sqlState())
        .byteValue('M')
        .string(fields.message())
        .byteValue(0)
        .toFrame();
  }

  /** Returns the command-complete message with a tag, for example {@code SELECT 1}. */
  public Frame commandComplete(String tag) {
    return writer(MessageType.COMMAND_COMPLETE).string(tag).toFrame();
  }

  /** Returns the row description of a result whose columns are all of type text. */
  public Frame textRowDescription(List<String> columns) {
    FrameWriter writer = writer(MessageType.ROW_DESCRIPTION).shortValue(columns.size());
    for (String column : columns) {
      writer
          .string(column)
          .intValue(0)
          .shortValue(0)
          .intValue(TEXT_TYPE_OID)
          .shortValue(VARIABLE_SIZE)
          .intValue(VARIABLE_SIZE)
          .shortValue(0);
    }
    return writer.toFrame();
  }

  /** Returns a data row of text values; a null value is SQL NULL. */
  public Frame textRow(List<String> values) {
    FrameWriter writer = writer(MessageType.DATA_ROW).shortValue(values.size());
    for (String value : values) {
      writer.value(value == null ? null : value.getBytes(StandardCharsets.UTF_8));
    }
    return writer.toFrame();
  }

  private FrameWriter writer(byte type) {
    return FrameWriter.of(allocator, type);
  }
}
