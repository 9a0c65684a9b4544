package org.persimmonwalk.wire;

import java.util.Objects;

/**
 * The fields of an error response that persimmonwalk reads and writes.
 *
 * @param severity the severity, not localized, for example {@code ERROR} or {@code FATAL}
 * @param sqlState the SQLSTATE code
 * @param message the message for the user
 */
public record ErrorFields(String severity, String sqlState, String message) {

  /** Checks that all fields are present. */
  public ErrorFields {
    Objects.requireNonNull(severity, "severity");
    Objects.requireNonNull(sqlState, "sqlState");
    Objects.requireNonNull(message, "message");
  }

  /** Returns the fields of an error that leaves the connection usable. */
  public static ErrorFields error(String sqlState, String message) {
    return new ErrorFields("ERROR", sqlState, message);
  }

  /** Returns the fields of an error after which the connection is closed. */
  public static ErrorFields fatal(String sqlState, String message) {
    return new ErrorFields("FATAL", sqlState, message);
  }

  /** Reads an error response frame; unknown fields are ignored, missing ones have defaults. */
  public static ErrorFields parse(Frame frame) {
    PayloadReader reader = PayloadReader.of(frame);
    String severity = "ERROR";
    String sqlState = "XX000";
    String message = "";
    byte field = reader.readByte();
    while (field != 0) {
      String value = reader.readString();
      switch (field) {
        case 'V' -> severity = value;
        case 'C' -> sqlState = value;
        case 'M' -> message = value;
        default -> {}
      }
      field = reader.readByte();
    }
    return new ErrorFields(severity, sqlState, message);
  }
}
