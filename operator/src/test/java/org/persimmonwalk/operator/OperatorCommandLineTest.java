package org.persimmonwalk.operator;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.admin.AdminServer;
import org.persimmonwalk.internal.operator.command.OperatorEnvironment;
import org.persimmonwalk.internal.operator.command.StandardEnvironment;
import org.persimmonwalk.internal.operator.fleet.HostReport;
import org.persimmonwalk.internal.settings.SettingsReader;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.standin.PlatformOutage;
import org.persimmonwalk.standin.StandInPlatform;
import org.persimmonwalk.standin.StandInPlatformSettings;
import org.persimmonwalk.testing.FakeClock;

class OperatorCommandLineTest {
  private static final String FIRST_NOTE =
      """
      id: first-note
      base: 0
      added:
        workspaces:
          oil: {rate: 500, burst: 100, groups: [tanks]}
        groups:
          tanks:
            servers:
              tanks-a: {zone: zone-a, endpoint: "10.0.0.1:5432", slots: 3, connections: 50}
      """;
  private static final String SECOND_NOTE =
      """
      id: second-note
      base: 1
      changed:
        workspaces:
          oil: {rate: 750, burst: 100, groups: [tanks]}
      """;

  @TempDir private Path directory;
  private final StandInPlatform platform = StandInPlatform.start(StandInPlatformSettings.create());
  private final AtomicInteger drains = new AtomicInteger();
  private final List<AdminServer> admins = new ArrayList<>();
  private final List<String> endpoints = new ArrayList<>();
  private OperatorEnvironment environment = StandardEnvironment.create();
  private ByteArrayOutputStream out;
  private ByteArrayOutputStream err;

  @BeforeEach
  void writeFiles() throws IOException {
    write("token", "operator-token\n");
    write("first.yaml", FIRST_NOTE);
    write("second.yaml", SECOND_NOTE);
  }

  @AfterEach
  void close() {
    admins.forEach(AdminServer::close);
    platform.close();
  }

  @Test
  void shouldApplyNotesAndShowHistory() throws IOException {
    assertThat(run("apply", file("first.yaml"))).isZero();
    assertThat(output()).isEqualTo("note: first-note\nrevision: 1\n");
    assertThat(run("apply", file("second.yaml"))).isZero();

    assertThat(run("history", "--output", "json")).isZero();
    JsonNode history = new ObjectMapper().readTree(output());
    assertThat(history).hasSize(2);
    assertThat(history.at("/0/note").asText()).isEqualTo("second-note");
    assertThat(history.at("/1/revision").asLong()).isEqualTo(1);
    assertThat(run("history", "--limit", "1")).isZero();
    assertThat(output()).contains("second-note").doesNotContain("first-note");
  }

  /** Guards against a dry run, check or diff that submits the note. */
  @Test
  void shouldShowChangesAndSubmitNothing() throws IOException {
    run("apply", file("first.yaml"));

    assertThat(run("apply", "--dry-run", file("second.yaml"))).isZero();
    assertThat(output().lines().toList().get(1).split(" +"))
        .containsExactly("changed", "workspaces/oil", "rate", "500", "750");
    assertThat(run("diff", file("second.yaml"))).isZero();
    assertThat(output()).contains("500").contains("750");
    assertThat(run("check", file("second.yaml"))).isZero();
    assertThat(output()).contains("checked: form and merge");
    assertNewestRevision(1);
  }

  /** Guards against a refused note that still changes something, and against wrong exit codes. */
  @Test
  void shouldRefuseNotesWithCodeAndChangeNothing() throws IOException {
    run("apply", file("first.yaml"));
    run("apply", file("second.yaml"));
    write("malformed.yaml", SECOND_NOTE.replace("rate: 750", "rate: fast"));
    write("conflict.yaml", SECOND_NOTE.replace("second-note", "third-note"));
    write(
        "invalid.yaml",
        SECOND_NOTE
            .replace("second-note", "third-note")
            .replace("base: 1", "base: 2")
            .replace("[tanks]", "[silos]"));
    write("large.yaml", SECOND_NOTE + "#".repeat(1024 * 1024));

    assertFailure(1, "PW-6001", "apply", file("malformed.yaml"));
    assertThat(error()).contains("changed/workspaces/oil/rate");
    assertFailure(1, "PW-6002", "apply", file("conflict.yaml"));
    assertThat(error()).contains("workspaces/oil: was changed since revision 1");
    assertFailure(1, "PW-6002", "diff", file("conflict.yaml"));
    assertThat(error()).contains("workspaces/oil: was changed since revision 1");
    assertFailure(1, "PW-6003", "apply", file("invalid.yaml"));
    assertThat(error()).contains("workspaces/oil/groups");
    assertFailure(1, "PW-6005", "apply", file("large.yaml"));
    assertFailure(1, "PW-6006", "key", "mint", "gas");
    assertFailure(1, "PW-6006", "key", "withdraw", "00000000");
    assertNewestRevision(2);
  }

  @Test
  void shouldExitWithTwoForInvalidCommandLines() throws IOException {
    String note = file("first.yaml");
    assertFailure(2, "PW-6007", new String[0]);
    assertFailure(2, "PW-6007", "publish", note);
    assertFailure(2, "PW-6007", "apply");
    assertFailure(2, "PW-6007", "apply", note, "--unknown");
    assertFailure(2, "PW-6007", "apply", note, "--output", "xml");
    assertFailure(2, "PW-6007", "apply", note, "--platform", "10.0.0.5:8080");
    assertFailure(2, "PW-6007", "apply", note, "--wait");
    assertFailure(2, "PW-6007", "apply", note, "--wait", "--hosts", "10.0.0.1");
    assertFailure(2, "PW-6007", "state", "servers");
    assertFailure(2, "PW-6007", "state", "everything", "--hosts", "127.0.0.1:1");
    assertFailure(2, "PW-6007", "history", "--limit", "0");
    assertFailure(2, "PW-6007", "key", "withdraw", "short");
    assertFailure(
        2, "PW-7001", "revisions", "--hosts", "127.0.0.1:1", "--token-file", file("no-token"));
    assertThat(run("history")).isZero();
    assertThat(output().lines()).hasSize(1);
  }

  @Test
  void shouldPrintHelpWithExamples() {
    assertThat(run("help")).isZero();
    assertThat(output()).contains("key withdraw").contains("operator drain host-a1 --hosts @hosts");
    assertThat(run("state", "--help")).isZero();
    assertThat(output()).contains("HOSTS | GROUPS | SERVERS").contains("--token-file");
  }

  /** Guards against storing the key itself, and a printed hash that cannot withdraw the key. */
  @Test
  void shouldMintAndWithdrawKeys() throws IOException {
    run("apply", file("first.yaml"));

    assertThat(run("key", "mint", "oil", "--output", "json")).isZero();
    JsonNode minted = new ObjectMapper().readTree(output());
    String key = minted.path("key").asText();
    assertThat(key).hasSize(43);
    assertThat(minted.path("hash").asText()).isEqualTo(KeyHash.ofKey(key).value());
    assertThat(minted.path("revision").asLong()).isEqualTo(2);

    String prefix = minted.path("hash").asText().substring(0, 8);
    assertThat(run("key", "withdraw", prefix)).isZero();
    assertFailure(1, "PW-6006", "key", "withdraw", prefix);
    assertNewestRevision(3);
  }

  /** Guards against an outage of the platform that is reported as a refusal or a success. */
  @Test
  void shouldReportAnOutageOfThePlatform() {
    platform.setOutage(PlatformOutage.REFUSED);

    assertFailure(1, "PW-8001", "history");
    assertThat(error()).startsWith("PW-8001: ").doesNotContain("PW-8001: PW-8001");
  }

  /** Guards against a note that is published twice because an answer of the platform is lost. */
  @Test
  void shouldAcceptNotesWhoseAnswerIsLost() {
    platform.loseNextAnswers(2);

    assertThat(run("apply", file("first.yaml"))).isZero();
    assertThat(output()).contains("revision: 1");
    assertThat(run("apply", file("first.yaml"))).isZero();
    assertNewestRevision(1);
  }

  @Test
  void shouldWaitUntilHostsHaveTheRevision() {
    startHost("host-a1", 1);
    startHost("host-a2", 5);

    assertThat(runWithHosts("apply", file("first.yaml"), "--wait")).isZero();
    assertThat(error()).contains("2 of 2 hosts on revision 1");
    assertThat(runWithHosts("revisions")).isZero();
    assertThat(output().lines().toList().get(1)).contains("host-a1").endsWith("yes");
    assertThat(runWithHosts("state", "hosts", "--output", "json")).isZero();
    assertThat(output()).contains("\"revision\" : 5");
  }

  @Test
  void shouldDrainTheNamedHostOnly() {
    startHost("host-a1", 1);
    startHost("host-a2", 1);

    assertThat(runWithHosts("drain", "host-a2")).isZero();
    assertThat(drains).hasValue(1);
    assertFailureWithHosts(1, "PW-6006", "drain", "host-a3");
    assertThat(drains).hasValue(1);
  }

  /** Guards against a wrong token that still has an effect, exits with 0 or is printed. */
  @Test
  void shouldFailWithWrongTokens() throws IOException {
    startHost("host-a1", 1);
    write("token", "another-token");

    assertFailureWithHosts(1, "PW-1006", "drain", "host-a1");
    assertFailureWithHosts(1, "PW-1006", "revisions");
    assertThat(output() + error()).doesNotContain("another-token");
    assertThat(drains).hasValue(0);
  }

  /** Guards against a host that is down and is not reported. */
  @Test
  void shouldNameHostsThatDoNotAnswer() {
    startHost("host-a1", 1);
    startHost("host-a2", 1);
    admins.get(1).close();

    assertFailureWithHosts(1, "PW-6008", "revisions");
    assertThat(output()).contains("host-a1").contains(endpoints.get(1));
  }

  /** Guards against a timed-out wait that reports success or hides that the note is accepted. */
  @Test
  void shouldReportHostsThatDoNotReachTheRevision() {
    HostReport report =
        new HostReport(
            EntryHostId.of("host-a1"),
            AvailabilityZone.of("zone-a"),
            HostPhase.SERVING,
            Revision.of(1),
            Optional.empty(),
            List.of(),
            List.of(),
            List.of());
    environment = FakeEnvironment.of(Map.of(SocketEndpoint.of("127.0.0.1", 1), report));
    endpoints.addAll(List.of("127.0.0.1:1", "127.0.0.1:2"));

    assertFailureWithHosts(1, "PW-6009", "apply", file("first.yaml"), "--wait");

    assertThat(output()).contains("revision: 1");
    assertThat(error()).contains("1 of 2 hosts on revision 1; check 127.0.0.1:2");
  }

  private void startHost(String id, long revision) {
    Configuration configuration =
        new Configuration(
            Revision.of(revision), ReleaseNoteId.of("note"), Map.of(), Map.of(), Map.of());
    ControlLoop control =
        ControlLoop.of(
            List.of((blackboard, context) -> blackboard.put(Entries.CONFIGURATION, configuration)),
            command -> {},
            new FakeClock(),
            RandomSource.seeded(1));
    control.runRound();
    String settings =
        """
        host: {id: %s, zone: zone-a}
        caller: {listen: "127.0.0.1:0", plainText: true}
        backend: {user: persimmonwalk, password: secret}
        peer: {listen: "127.0.0.1:0", plainText: true}
        platform: {endpoint: "127.0.0.1:0"}
        admin: {listen: "127.0.0.1:0", token: operator-token}
        """
            .formatted(id);
    AdminServer admin =
        AdminServer.start(
            SettingsReader.create().parse(settings),
            control::snapshot,
            new MetricRegistry(),
            drains::incrementAndGet);
    admins.add(admin);
    endpoints.add("127.0.0.1:" + admin.port());
  }

  private void assertNewestRevision(int revision) {
    assertThat(run("history", "--limit", "1")).isZero();
    assertThat(output().lines().toList().get(1)).startsWith(revision + " ");
  }

  private void assertFailure(int exitCode, String label, String... arguments) {
    assertThat(run(arguments)).as("%s", List.of(arguments)).isEqualTo(exitCode);
    assertThat(error()).as("%s", List.of(arguments)).startsWith(label + ": ");
  }

  private void assertFailureWithHosts(int exitCode, String label, String... arguments) {
    assertThat(runWithHosts(arguments)).isEqualTo(exitCode);
    assertThat(error()).contains(label + ": ");
  }

  private int runWithHosts(String... arguments) {
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--hosts", String.join(",", endpoints), "--token-file", file("token")));
    return run(all.toArray(String[]::new));
  }

  /** Runs a command with --platform, unless it has that option itself, or is empty or help. */
  private int run(String... arguments) {
    List<String> all = new ArrayList<>(List.of(arguments));
    boolean named = all.isEmpty() || all.contains("--platform") || all.get(0).equals("help");
    if (!named) {
      all.addAll(List.of("--platform", "http://" + platform.endpoint()));
    }
    out = new ByteArrayOutputStream();
    err = new ByteArrayOutputStream();
    PrintStream text = new PrintStream(out, true);
    return OperatorCommandLine.of(environment, text, new PrintStream(err, true)).run(all);
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String error() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private String file(String name) {
    return directory.resolve(name).toString();
  }

  private void write(String name, String content) throws IOException {
    Files.writeString(directory.resolve(name), content);
  }
}
