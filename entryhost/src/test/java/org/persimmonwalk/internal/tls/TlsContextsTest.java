package org.persimmonwalk.internal.tls;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TlsContextsTest {
  private static final InstantSource TIME =
      InstantSource.fixed(Instant.parse("2100-01-01T00:00:00Z"));

  @TempDir private Path directory;
  private TlsFiles files;
  private long changes;

  @BeforeEach
  void copyFiles() throws IOException {
    files = new TlsFiles(directory.resolve("a.pem"), directory.resolve("a.key"), Optional.empty());
    replace(TestFiles.FIRST.certificate(), files.certificate());
    replace(TestFiles.FIRST.key(), files.key());
  }

  /** Guards against renewed certificates that require a restart, and against needless reloads. */
  @Test
  void shouldUseChangedFilesForNewConnections() throws IOException {
    TlsContexts contexts = TlsContexts.load("caller.tls", files, TIME);
    SslContext first = contexts.serverContext();
    contexts.reloadIfChanged();
    assertThat(contexts.serverContext()).isSameAs(first);

    replace(TestFiles.SECOND.certificate(), files.certificate());
    replace(TestFiles.SECOND.key(), files.key());
    contexts.reloadIfChanged();

    assertThat(contexts.serverContext()).isNotSameAs(first);
  }

  /**
   * Guards against a renewal that is read while only one of its files is written: it must not
   * disable TLS, and the complete files must be loaded later.
   */
  @Test
  void shouldKeepContextUntilFilesMatchAgain() throws IOException {
    TlsContexts contexts = TlsContexts.load("caller.tls", files, TIME);
    SslContext first = contexts.serverContext();

    replace(TestFiles.SECOND.certificate(), files.certificate());
    contexts.reloadIfChanged();
    assertThat(contexts.serverContext()).isSameAs(first);

    FileTime unchanged = Files.getLastModifiedTime(files.key());
    replace(TestFiles.SECOND.key(), files.key());
    Files.setLastModifiedTime(files.key(), unchanged);
    contexts.reloadIfChanged();
    assertThat(contexts.serverContext()).isNotSameAs(first);
  }

  /** Sets a different time for each change, since file systems may store coarse timestamps. */
  private void replace(Path source, Path target) throws IOException {
    Files.copy(source, target, StandardCopyOption.REPLACE_EXISTING);
    Files.setLastModifiedTime(target, FileTime.fromMillis(++changes * 1_000));
  }
}
