package org.persimmonwalk.internal.store;

import java.io.IOException;

/** Thrown when a response is larger than the limit. */
final class ResponseTooLargeException extends IOException {

  /** Creates the exception; the limit is in bytes. */
  ResponseTooLargeException(int limitBytes) {
    super("the response is larger than " + limitBytes + " bytes");
  }
}
