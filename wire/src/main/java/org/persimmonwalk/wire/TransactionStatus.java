package org.persimmonwalk.wire;

/** The transaction status in a ready-for-query message. */
public enum TransactionStatus {
  IDLE('I'),
  IN_TRANSACTION('T'),
  FAILED('E');

  private final char code;

  TransactionStatus(char code) {
    this.code = code;
  }

  /** Returns the byte that encodes the status in the message. */
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
