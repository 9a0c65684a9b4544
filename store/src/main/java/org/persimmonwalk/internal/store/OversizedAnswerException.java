package org.persimmonwalk.internal.store;

import java.io.IOException;

/** An answer that is larger than the limit. */
final class OversizedAnswerException extends IOException {

  /** Creates the exception; the limit is in bytes. */
  OversizedAnswerException(int limitBytes) {
    super("the answer is larger than " + limitBytes + " bytes");
  }
}
