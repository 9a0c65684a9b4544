package org.persimmonwalk.internal.operator.command;

import java.security.SecureRandom;
import java.util.Base64;

/** Generates caller keys that cannot be guessed. */
public interface KeySource {

  /** Returns a new key. */
  String next();

  /** Returns a source of keys that encode 256 random bits in URL-safe Base64. */
  static KeySource secure() {
    SecureRandom random = new SecureRandom();
    return () -> {
      byte[] bytes = new byte[32];
      random.nextBytes(bytes);
      return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    };
  }
}
