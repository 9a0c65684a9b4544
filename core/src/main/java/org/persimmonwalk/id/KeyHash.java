package org.persimmonwalk.id;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The SHA-256 hash of a caller key, in lower-case hexadecimal; the key itself is never kept. */
public record KeyHash(String value) {
  private static final int DIGITS = 64;

  /** Checks the length and the digits of the hash. */
  public KeyHash {
    if (value == null || !isHexadecimal(value)) {
      throw new IllegalArgumentException(
          "a key hash has 64 lower-case hexadecimal digits; hash the key with SHA-256");
    }
  }

  private static boolean isHexadecimal(String text) {
    for (int i = 0; i < text.length(); i++) {
      char digit = text.charAt(i);
      if ((digit < '0' || digit > '9') && (digit < 'a' || digit > 'f')) {
        return false;
      }
    }
    return text.length() == DIGITS;
  }

  /**
   * Returns the hash with the given hexadecimal digits.
   *
   * @throws IllegalArgumentException if the text is not 64 lower-case hexadecimal digits
   */
  public static KeyHash of(String value) {
    return new KeyHash(value);
  }

  /** Returns the hash of a caller key. */
  public static KeyHash ofKey(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      byte[] hash = digest.digest(key.getBytes(StandardCharsets.UTF_8));
      return new KeyHash(HexFormat.of().formatHex(hash));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime lacks SHA-256", e);
    }
  }

  @Override
  public String toString() {
    return value.substring(0, 8);
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other || (other instanceof KeyHash that && value.equals(that.value));
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
