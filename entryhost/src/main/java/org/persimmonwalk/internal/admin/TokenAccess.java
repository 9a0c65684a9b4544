package org.persimmonwalk.internal.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.persimmonwalk.id.KeyHash;

/** Serves whoever shows the operator token. */
final class TokenAccess implements OperatorAccess {
  private static final String SCHEME = "Bearer ";

  private final byte[] expected;

  private TokenAccess(byte[] expected) {
    this.expected = expected;
  }

  static TokenAccess of(String token) {
    return new TokenAccess(hash(token));
  }

  /** Compares hashes in constant time, so that the time tells neither content nor length. */
  @Override
  public boolean permits(AdminRequest request) {
    String header = request.authorization().orElse("");
    return header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
        && MessageDigest.isEqual(expected, hash(header.substring(SCHEME.length()).strip()));
  }

  @Override
  public boolean permitsPublic(AdminRequest request) {
    return true;
  }

  private static byte[] hash(String token) {
    return KeyHash.ofKey(token).value().getBytes(StandardCharsets.US_ASCII);
  }
}
