package org.persimmonwalk.internal.settings;

import java.nio.file.Path;
import java.time.Instant;
import java.util.Optional;
import org.persimmonwalk.internal.tls.TlsFiles;
import org.persimmonwalk.internal.tls.TlsLoader;
import org.persimmonwalk.result.ResultCode;

/**
 * Reads the TLS settings of a section. The section must either configure TLS or allow plain text
 * explicitly, so that leaving out a setting never results in plain text.
 */
final class TlsSettingsReader {
  private static final String TLS = "tls";
  private static final String PLAIN_TEXT = "plainText";

  private final SettingsNode section;

  private TlsSettingsReader(SettingsNode section) {
    this.section = section;
  }

  /** Returns a reader of the section that holds the settings {@code tls} and {@code plainText}. */
  static TlsSettingsReader of(SettingsNode section) {
    return new TlsSettingsReader(section);
  }

  /** Returns the TLS settings for callers; empty if they use plain text, or after a fault. */
  Optional<Settings.CallerTls> caller() {
    boolean plainText = section.flag(PLAIN_TEXT, false);
    if (!checkTlsConfigured(plainText)) {
      return Optional.empty();
    }
    SettingsNode node = section.section(TLS);
    boolean required = node.flag("required", true);
    if (required && plainText) {
      section.fault(
          ResultCode.SETTING_INVALID, PLAIN_TEXT, "contradicts tls.required, which is true");
    }
    return files(node, false).map(files -> new Settings.CallerTls(files, required));
  }

  /** Returns the files for mutual TLS between hosts; empty for plain text, or after a fault. */
  Optional<TlsFiles> peer() {
    boolean plainText = section.flag(PLAIN_TEXT, false);
    if (!checkTlsConfigured(plainText)) {
      return Optional.empty();
    }
    if (plainText) {
      section.fault(ResultCode.SETTING_INVALID, PLAIN_TEXT, "contradicts the section tls");
    }
    return files(section.section(TLS), true);
  }

  private boolean checkTlsConfigured(boolean plainText) {
    boolean configured = section.contains(TLS);
    if (!configured && !plainText) {
      section.fault(
          ResultCode.SETTING_MISSING,
          TLS,
          "is missing; name the certificate files, or set plainText to true");
    }
    return configured;
  }

  private static Optional<TlsFiles> files(SettingsNode node, boolean mutual) {
    Path certificate = node.value("certificate", Optional.empty(), Path::of);
    Path key = node.value("key", Optional.empty(), Path::of);
    Path authorities = mutual ? node.value("authorities", Optional.empty(), Path::of) : null;
    node.rejectUnknownNames();
    if (certificate == null || key == null || (mutual && authorities == null)) {
      return Optional.empty();
    }
    TlsFiles files = new TlsFiles(certificate, key, Optional.ofNullable(authorities));
    TlsLoader.check(
        files,
        Instant.now(),
        (name, detail) -> node.fault(ResultCode.TLS_FILE_INVALID, name, detail));
    return Optional.of(files);
  }
}
