package org.persimmonwalk.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

class SettingsReaderTest {
  private static final String VALID =
      """
      host: {id: host-a1, zone: zone-a}
      caller: {listen: "127.0.0.1:6432", statementDeadline: 500ms, plainText: true}
      backend: {user: persimmonwalk, password: secret}
      peer: {listen: "127.0.0.1:7432", plainText: true}
      platform: {endpoint: "127.0.0.1:9432"}
      admin: {listen: "127.0.0.1:8432"}
      """;

  private final SettingsReader reader = SettingsReader.create();

  @Test
  void shouldReadValuesAndDefaults() {
    Settings settings = reader.parse(VALID);

    assertThat(settings.caller().listen()).isEqualTo(SocketEndpoint.of("127.0.0.1", 6432));
    assertThat(settings.caller().statementDeadline()).isEqualTo(Duration.ofMillis(500));
    assertThat(settings.caller().maximumConnections()).isEqualTo(10_000);
    assertThat(settings.platform().timeout()).isEqualTo(Duration.ofSeconds(1));
  }

  /**
   * Guards against a check that stops at the first fault, so that operators need a run for each.
   */
  @Test
  void shouldReportEveryFaultWithItsPath() {
    String text =
        VALID.replace("500ms", "soon").replace("zone: zone-a", "zoned: zone-a")
            + "callers: {port: 1}\n";

    assertThatThrownBy(() -> reader.parse(text))
        .isInstanceOfSatisfying(
            PersimmonwalkException.class,
            e -> assertThat(e.code()).isEqualTo(ResultCode.SETTING_MISSING))
        .hasMessageContaining("4 fault(s)")
        .hasMessageContaining("PW-7004 host.zone: is missing")
        .hasMessageContaining("PW-7002 host.zoned: is not a setting; known here: id, zone")
        .hasMessageContaining("PW-7003 caller.statementDeadline: 'soon'")
        .hasMessageContaining("PW-7002 callers");
  }

  @Test
  void shouldReportTextThatIsNotYaml() {
    assertThatThrownBy(() -> reader.parse("host: [unclosed"))
        .isInstanceOf(PersimmonwalkException.class)
        .hasMessageStartingWith("PW-7001");
  }

  /**
   * Guards against plain text as the result of a missing setting, and against certificate files
   * that are not checked.
   */
  @Test
  void shouldRequireTlsOrExplicitPlainText() {
    String text =
        VALID.replace(
            ", plainText: true}\nplatform", ", tls: {certificate: c.pem, key: k.pem}}\nplatform");

    assertThatThrownBy(() -> reader.parse(text.replace(", plainText: true}", "}")))
        .isInstanceOf(PersimmonwalkException.class)
        .hasMessageContaining("PW-7004 caller.tls: is missing; name the certificate files")
        .hasMessageContaining("PW-7004 peer.tls.authorities: is missing");
    assertThatThrownBy(
            () ->
                reader.parse(
                    VALID.replaceFirst(
                        "plainText: true", "plainText: true, tls: {certificate: c.pem, key: k}")))
        .hasMessageContaining("PW-7003 caller.plainText: contradicts tls.required")
        .hasMessageContaining("PW-7005 caller.tls.certificate: c.pem cannot be read")
        .hasMessageContaining("PW-7005 caller.tls.key: k cannot be read");
  }
}
