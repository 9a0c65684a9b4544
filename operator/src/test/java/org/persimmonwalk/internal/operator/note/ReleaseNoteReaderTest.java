package org.persimmonwalk.internal.operator.note;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.release.ItemName;
import org.persimmonwalk.release.ReleaseItem;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

class ReleaseNoteReaderTest {
  private static final String HASH = "1234567890".repeat(6) + "1234";
  private static final String VALID =
      """
      id: first-note
      base: 41
      added:
        workspaces:
          oil: {rate: 500, burst: 100, groups: [tanks]}
        keys:
          %s: {workspace: oil}
        groups:
          tanks:
            defaultMaximumAge: 500ms
            servers:
              tanks-a: {zone: zone-a, endpoint: "10.0.0.1:5432", slots: 3, connections: 50}
      changed:
        servers:
          tanks-b: {group: tanks, zone: b, endpoint: "10.0.0.2:5432", slots: 3, connections: 50}
      withdrawn:
        keys: [%s]
      leaving: [tanks-c]
      """
          .formatted(HASH, "0" + HASH.substring(1));

  private final ReleaseNoteReader reader = ReleaseNoteReader.create();

  @Test
  void shouldReadEveryKindOfItem() {
    ReleaseNote note = reader.parse(bytes(VALID));

    assertThat(note.base()).isEqualTo(Revision.of(41));
    assertThat(note.added())
        .contains(
            new ReleaseItem.WorkspaceItem(
                Workspace.of(WorkspaceId.of("oil"), 500, 100, Set.of(DatabaseGroupId.of("tanks")))))
        .hasSize(3);
    ReleaseItem.GroupItem group = (ReleaseItem.GroupItem) note.added().get(2);
    assertThat(group.group().defaultMaximumAge()).isEqualTo(Duration.ofMillis(500));
    assertThat(group.group().servers().get(0).endpoint())
        .isEqualTo(SocketEndpoint.of("10.0.0.1", 5432));
    assertThat(note.changed()).extracting(ReleaseItem::name).containsExactly(server("tanks-b"));
    assertThat(note.withdrawn()).hasSize(1);
    assertThat(note.leaving()).containsExactly(BackendServerId.of("tanks-c"));
  }

  /** Guards against validation that stops at the first fault, which costs operators a run each. */
  @Test
  void shouldReportEveryFaultWithCodeAndPath() {
    String text =
        VALID
            .replace("base: 41", "base: newest")
            .replace("rate: 500, ", "rates: 500, ")
            .replace("10.0.0.1:5432", "10.0.0.256:5432")
            .replace("slots: 3, connections: 50}\nchanged", "slots: 0, connections: 50}\nchanged")
            .replace("500ms", "soon")
            .replace("leaving: [tanks-c]", "leaving: [tanks-c, tanks-c, '-x']");

    PersimmonwalkException failure = failure(bytes(text));

    assertThat(failure.code()).isEqualTo(ResultCode.NOTE_MALFORMED);
    assertThat(failure)
        .hasMessageContaining("7 fault(s)")
        .hasMessageContaining("PW-6001 base: 'newest' is not the number of a revision")
        .hasMessageContaining("PW-6001 added/workspaces/oil/rate: is missing")
        .hasMessageContaining("PW-6001 added/workspaces/oil/rates: is not known; known here: burst")
        .hasMessageContaining("PW-6001 added/groups/tanks/defaultMaximumAge: 'soon'")
        .hasMessageContaining("PW-6001 added/groups/tanks/servers/tanks-a/endpoint: '10.0.0.256")
        .hasMessageContaining("PW-6001 leaving/1: is listed twice")
        .hasMessageContaining("PW-6001 leaving/2: backend server '-x' is not valid");
  }

  /** Guards against values out of range, some of which only the model's constructors reject. */
  @Test
  void shouldReportValuesOutOfRange() {
    assertFault(VALID.replace("burst: 100", "burst: 0.5"), "added/workspaces/oil: workspace oil");
    assertFault(VALID.replace("rate: 500", "rate: .inf"), "added/workspaces/oil/rate: '.inf'");
    assertFault(VALID.replace("slots: 3", "slots: 0"), "servers/tanks-a: backend server tanks-a");
    assertFault(VALID.replace("50}", "1000000000000}"), "tanks-a/connections: '1000000000000'");
    assertFault(VALID.replace(":5432", ":65536"), "tanks-a/endpoint: port 65536");
    assertFault(VALID.replace(HASH + ":", "abc:"), "added/keys/abc: a key hash has 64");
  }

  /** Guards against a duplicate entry that silently replaces the first, and ignored names. */
  @Test
  void shouldReportDuplicateAndUnknownNames() {
    assertFault(VALID + "base: 42\n", "base: is written twice");
    assertFault(VALID + "adding: {}\n", "adding: is not known; known here: added, base");
    assertFault(
        VALID.replace("  keys:\n", "    oil: {rate: 1, burst: 1}\n  keys:\n"),
        "added/workspaces/oil: is written twice");
    assertFault(VALID + "---\nid: second\n", "note: holds a second document");
    assertFault(VALID.replace("[tanks]", "tanks"), "added/workspaces/oil/groups: is not a list");
    assertFault("- a\n- b\n", "note: is not a section");
    assertFault("", "id: is missing");
  }

  /**
   * Guards against a note that exhausts memory or stack, makes the parser instantiate classes named
   * by tags, or prints control characters on the terminal.
   */
  @Test
  void shouldRefuseMaliciousText() {
    assertFault("id: x\nbase: 1\nadded: " + "[".repeat(5_000), "is nested deeper than 10 levels");
    assertFault("a".repeat(2_000) + "{".repeat(100_000), "PW-6001");
    assertFault(VALID.replace("[tanks]", "&a [tanks]") + "more: *a\n", "more: is an alias");
    assertFault(VALID.replace("first-note", "!!java.net.URL x"), "id: has an anchor or a tag");
    assertFault("id: [unclosed", "line 1 column");
    assertFault("id: \"\\u001b[2J\"\nbase: 1\n", "id: release note '?[2J' is not valid");
    assertFault("key: x\n".repeat(500), "and 402 more");
  }

  /** Guards against documentation whose example is refused. */
  @Test
  void shouldReadTheExampleOfTheDocumentation() throws IOException {
    String text = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
    String example = text.substring(text.indexOf("```yaml\nid:") + 8);

    ReleaseNote note = reader.parse(bytes(example.substring(0, example.indexOf("```"))));

    assertThat(note.added()).hasSize(2);
  }

  @Test
  void shouldRefuseTextThatIsNotUtf8() {
    assertThat(failure(new byte[] {'i', 'd', ':', ' ', (byte) 0xff}))
        .hasMessageContaining("PW-6001 note: is not UTF-8 text");
  }

  /** Guards against a file of any size being read into memory. */
  @Test
  void shouldRefuseMoreThanOneMebibyte() {
    byte[] content = bytes(VALID + "#".repeat(1024 * 1024 - VALID.length()));

    assertThat(reader.parse(content).base()).isEqualTo(Revision.of(41));
    assertThat(failure(bytes("#" + new String(content, StandardCharsets.UTF_8))).code())
        .isEqualTo(ResultCode.REQUEST_TOO_LARGE);
  }

  @Test
  void shouldReportFilesThatCannotBeRead() {
    PersimmonwalkException failure =
        catchThrowableOfType(
            PersimmonwalkException.class, () -> reader.read(Path.of("no-such-note.yaml")));

    assertThat(failure.code()).isEqualTo(ResultCode.NOTE_MALFORMED);
    assertThat(failure).hasMessageContaining("no-such-note.yaml");
  }

  private void assertFault(String text, String expected) {
    PersimmonwalkException failure = failure(bytes(text));
    assertThat(failure.code()).isEqualTo(ResultCode.NOTE_MALFORMED);
    assertThat(failure).hasMessageContaining(expected);
  }

  private PersimmonwalkException failure(byte[] content) {
    return catchThrowableOfType(PersimmonwalkException.class, () -> reader.parse(content));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static ItemName server(String id) {
    return ItemName.of(BackendServerId.of(id));
  }
}
