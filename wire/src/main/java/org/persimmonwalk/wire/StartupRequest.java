package org.persimmonwalk.wire;

import java.util.LinkedHashMap;
import java.util.Map;

/** The first message that a client sends on a connection. */
public sealed interface StartupRequest {

  /** Opens a session with the given parameters, for example {@code user}. */
  record Start(Map<String, String> parameters) implements StartupRequest {
    /** Copies the parameters. */
    public Start {
      parameters = Map.copyOf(parameters);
    }
  }

  /** Requests TLS. */
  enum Tls implements StartupRequest {
    /** The only value. */
    INSTANCE
  }

  /** Requests GSSAPI encryption. */
  enum GssEncryption implements StartupRequest {
    /** The only value. */
    INSTANCE
  }

  /** Requests the cancellation of the statement that runs on another connection. */
  record Cancel(int processId, int secret) implements StartupRequest {}

  /** The code that requests TLS, in the place of a protocol version. */
  int TLS_CODE = 80_877_103;

  /** The code that requests a cancellation, in the place of a protocol version. */
  int CANCEL_CODE = 80_877_102;

  /** The code that requests GSSAPI encryption, in the place of a protocol version. */
  int GSS_CODE = 80_877_104;

  /** Version 3.0 of the protocol. */
  int PROTOCOL_VERSION = 196_608;

  /**
   * Reads a start-up frame.
   *
   * @throws ProtocolException if the frame is malformed or requests another major version
   */
  static StartupRequest parse(Frame frame) {
    PayloadReader reader = PayloadReader.of(frame);
    int code = reader.readInt();
    return switch (code) {
      case TLS_CODE -> Tls.INSTANCE;
      case GSS_CODE -> GssEncryption.INSTANCE;
      case CANCEL_CODE -> new Cancel(reader.readInt(), reader.readInt());
      default -> parseStart(code, reader);
    };
  }

  private static StartupRequest parseStart(int version, PayloadReader reader) {
    if (version >>> Short.SIZE != PROTOCOL_VERSION >>> Short.SIZE) {
      throw new ProtocolException(
          "protocol version " + (version >>> Short.SIZE) + " is not supported; use version 3");
    }
    Map<String, String> parameters = new LinkedHashMap<>();
    String name = reader.readString();
    while (!name.isEmpty()) {
      parameters.put(name, reader.readString());
      name = reader.readString();
    }
    return new Start(parameters);
  }
}
