package org.persimmonwalk.internal.tls;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against files that are accepted at startup but make every handshake fail. */
class TlsLoaderTest {
  private static final Instant VALID = Instant.parse("2100-01-01T00:00:00Z");
  private static final Instant EXPIRED = Instant.parse("2200-01-01T00:00:00Z");
  private static final Instant EARLY = Instant.parse("2000-01-01T00:00:00Z");

  private final List<String> faults = new ArrayList<>();
  @TempDir private Path directory;

  @Test
  void shouldLoadFilesWithoutFault() {
    assertThat(load(TestFiles.FIRST, VALID)).isPresent();
    assertThat(faults).isEmpty();
  }

  @Test
  void shouldReportEachMissingFile() {
    Path missing = directory.resolve("missing.pem");

    load(new TlsFiles(missing, missing, Optional.of(missing)), VALID);

    String detail = missing + " cannot be read: NoSuchFileException";
    assertThat(faults)
        .containsExactly("certificate " + detail, "key " + detail, "authorities " + detail);
  }

  @Test
  void shouldReportFilesThatAreNotPem() throws IOException {
    Path text = Files.writeString(directory.resolve("text.pem"), "no certificate");
    Path broken =
        Files.writeString(
            directory.resolve("broken.pem"),
            "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n");

    load(new TlsFiles(text, text, Optional.of(broken)), VALID);

    assertThat(faults).hasSize(3);
    assertThat(faults.get(0)).isEqualTo("certificate " + text + " holds no certificate in PEM");
    assertThat(faults.get(1)).startsWith("key " + text + " holds no private key");
    assertThat(faults.get(2)).startsWith("authorities " + broken + " holds a malformed");
  }

  @Test
  void shouldReportKeyOfAnotherCertificate() {
    Path key = TestFiles.SECOND.key();

    load(new TlsFiles(TestFiles.FIRST.certificate(), key, Optional.empty()), VALID);

    assertThat(faults).containsExactly("key " + key + " does not match the certificate");
  }

  @Test
  void shouldReportCertificatesOutsideValidityPeriod() {
    assertThat(load(TestFiles.FIRST, EXPIRED)).isEmpty();
    assertThat(faults).hasSize(2).allMatch(fault -> fault.contains("has expired"));
    faults.clear();
    assertThat(load(TestFiles.FIRST, EARLY)).isEmpty();
    assertThat(faults).hasSize(2).allMatch(fault -> fault.contains("not valid yet"));
  }

  private Optional<TlsMaterial> load(TlsFiles files, Instant now) {
    return TlsLoader.load(files, now, (setting, detail) -> faults.add(setting + " " + detail));
  }
}
