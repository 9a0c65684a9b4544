package org.persimmonwalk.internal.tls;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The PEM files that one section of the settings names, for callers or for peers.
 *
 * @param certificate the certificate of this host, followed by those of its issuers
 * @param key the private key of the certificate, in unencrypted PKCS#8
 * @param authorities certificates of the authorities that verify the other side; empty if it is not
 *     verified
 */
public record TlsFiles(Path certificate, Path key, Optional<Path> authorities) {

  /** Returns the paths of all files. */
  List<Path> all() {
    return Stream.concat(Stream.of(certificate, key), authorities.stream()).toList();
  }
}
