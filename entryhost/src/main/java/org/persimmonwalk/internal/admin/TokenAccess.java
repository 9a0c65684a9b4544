package org.persimmonwalk.internal.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.persimmonwalk.id.KeyHash;

/** Permits requests with the configured operator token as bearer token. */
final class TokenAccess implements OperatorAccess {
  private static final String SCHEME = "Bearer ";

  private final byte[] expectedHash;

  private TokenAccess(byte[] expectedHash) {
    this.expectedHash = expectedHash;
  }

  static TokenAccess of(String token) {
    return new TokenAccess(hash(token));
  }

  /** Compares hashes in constant time, so that the duration reveals neither content nor length. */
  @Override
  public boolean permits(AdminRequest request) {
    String header = request.authorization().orElse("");
    return header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
        && MessageDigest.isEqual(expectedHash, hash(header.substring(SCHEME.length()).strip()));
  }

  @Override
  public boolean permitsPublic(AdminRequest request) {
    return true;
  }

  private static byte[] hash(String token) {
    return KeyHash.ofKey(token).value().getBytes(StandardCharsets.US_ASCII);
  }
}
