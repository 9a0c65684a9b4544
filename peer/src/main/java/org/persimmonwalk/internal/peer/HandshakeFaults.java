package org.persimmonwalk.internal.peer;

import io.netty.handler.ssl.NotSslRecordException;
import java.util.Optional;
import javax.net.ssl.SSLException;

/** Describes why TLS with a peer failed. */
final class HandshakeFaults {

  private HandshakeFaults() {}

  /** Returns a reason for the log, or nothing if the failure is not one of TLS. */
  static Optional<String> describe(Throwable failure) {
    Throwable cause = failure instanceof SSLException ? failure : failure.getCause();
    if (cause instanceof NotSslRecordException) {
      return Optional.of("it speaks plain text, and this host demands mutual TLS");
    }
    if (cause instanceof SSLException) {
      return Optional.of(
          "mutual TLS failed, check the certificates and authorities of both hosts: "
              + cause.getMessage());
    }
    return Optional.empty();
  }
}
