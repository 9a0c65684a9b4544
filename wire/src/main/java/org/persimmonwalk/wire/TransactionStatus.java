package org.persimmonwalk.wire;

/** The transaction status that a backend server reports when it is ready for a statement. */
public enum TransactionStatus {
  IDLE('I'),
  IN_TRANSACTION('T'),
  FAILED('E');

  private final char code;

  TransactionStatus(char code) {
    this.code = code;
  }

  /** Returns the byte on the wire. */
  public char code() {
    return code;
  }

  /**
   * Returns the status in a ready-for-query frame.
   *
   * @throws ProtocolException if the byte is not I, T or E
   */
  public static TransactionStatus parse(Frame frame) {
    char code = (char) PayloadReader.of(frame).readByte();
    for (TransactionStatus status : values()) {
      if (status.code == code) {
        return status;
      }
    }
    throw new ProtocolException("transaction status '" + code + "' is not I, T or E");
  }
}
