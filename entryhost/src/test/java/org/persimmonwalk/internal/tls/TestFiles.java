package org.persimmonwalk.internal.tls;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Certificates and keys for tests. The authority has signed the first and the second; an authority
 * of the same name with another key has signed that of the stranger.
 */
final class TestFiles {
  static final Path DIRECTORY = Path.of("src", "test", "resources", "tls");
  static final TlsFiles FIRST = pair("first");
  static final TlsFiles SECOND = pair("second");
  static final TlsFiles STRANGER = pair("stranger");

  private TestFiles() {}

  private static TlsFiles pair(String name) {
    return new TlsFiles(
        DIRECTORY.resolve(name + ".pem"),
        DIRECTORY.resolve(name + ".key"),
        Optional.of(DIRECTORY.resolve("authority.pem")));
  }
}
