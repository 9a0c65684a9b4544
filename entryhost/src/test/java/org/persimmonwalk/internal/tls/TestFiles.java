package org.persimmonwalk.internal.tls;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Certificates and keys for tests. One authority signed {@code FIRST} and {@code SECOND}. {@code
 * OTHER_AUTHORITY} was signed by an authority with the same name and another key.
 */
final class TestFiles {
  static final Path DIRECTORY = Path.of("src", "test", "resources", "tls");
  static final TlsFiles FIRST = pair("first");
  static final TlsFiles SECOND = pair("second");
  static final TlsFiles OTHER_AUTHORITY = pair("other-authority");

  private TestFiles() {}

  private static TlsFiles pair(String name) {
    return new TlsFiles(
        DIRECTORY.resolve(name + ".pem"),
        DIRECTORY.resolve(name + ".key"),
        Optional.of(DIRECTORY.resolve("authority.pem")));
  }
}
