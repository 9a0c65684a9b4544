package org.persimmonwalk.internal.peer;

import io.netty.handler.ssl.NotSslRecordException;
import java.util.Optional;
import javax.net.ssl.SSLException;

/** Describes TLS failures on connections with peers. */
final class HandshakeFaults {

  private HandshakeFaults() {}

  /** Returns a reason for the log, empty if the failure does not come from TLS. */
  static Optional<String> describe(Throwable failure) {
    Throwable cause = failure instanceof SSLException ? failure : failure.getCause();
    if (cause instanceof NotSslRecordException) {
      return Optional.of("the peer sent plain text, but this host requires mutual TLS");
    }
    if (cause instanceof SSLException) {
      return Optional.of(
          "mutual TLS failed, check the certificates and authorities of both hosts: "
              + cause.getMessage());
    }
    return Optional.empty();
  }
}
