package org.persimmonwalk.release;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.testing.Configurations;

class ReleaseNoteMergeTest {
  private static final Configuration CURRENT = Configurations.of(1, 2, 2);
  private static final ReleaseNote NOTE = ReleaseNote.of(ReleaseNoteId.of("next"), Revision.of(1));

  /** Guards against sections of a release note that are ignored or applied to the wrong item. */
  @Test
  void shouldApplyAllSectionsOfReleaseNote() {
    ReleaseNote note =
        NOTE.withAdded(
                List.of(
                    workspace("new", "group-2"),
                    new ReleaseItem.KeyItem(Configurations.key("new-key", "new")),
                    new ReleaseItem.GroupItem(Configurations.group("group-2"))))
            .withChanged(List.of(workspace("workspace-0", "group-1")))
            .withWithdrawn(
                List.of(
                    ItemName.of(KeyHash.ofKey("key-1")),
                    ItemName.of(BackendServerId.of("group-1-c"))))
            .withLeaving(List.of(BackendServerId.of("group-0-a")));

    Configuration merged = merged(ReleaseNoteMerge.merge(CURRENT, note));

    assertThat(merged.revision()).isEqualTo(Revision.of(2));
    assertThat(merged.note()).isEqualTo(note.id());
    assertThat(merged.allows(KeyHash.ofKey("new-key"), WorkspaceId.of("new"))).isTrue();
    assertThat(merged.allows(KeyHash.ofKey("key-0"), WorkspaceId.of("workspace-0"))).isTrue();
    assertThat(merged.keys()).doesNotContainKey(KeyHash.ofKey("key-1"));
    assertThat(merged.workspace(WorkspaceId.of("workspace-0")).orElseThrow().groups())
        .containsExactly(DatabaseGroupId.of("group-1"));
    assertThat(merged.group(DatabaseGroupId.of("group-1")).orElseThrow().servers()).hasSize(2);
    assertThat(
            merged
                .group(DatabaseGroupId.of("group-0"))
                .flatMap(group -> group.server(BackendServerId.of("group-0-a")))
                .orElseThrow()
                .leaving())
        .isTrue();
  }

  /** Guards against a refusal that reports only the first fault or omits its path. */
  @Test
  void shouldReportEveryFaultWithItsPath() {
    ReleaseNote note =
        NOTE.withAdded(
                List.of(
                    workspace("workspace-0", "group-0"),
                    workspace("lost", "absent"),
                    new ReleaseItem.KeyItem(Configurations.key("stray", "absent")),
                    server("absent", "server-x")))
            .withChanged(List.of(workspace("absent", "group-0"), server("group-0", "group-1-b")))
            .withWithdrawn(
                List.of(
                    ItemName.of(WorkspaceId.of("workspace-1")),
                    ItemName.of(WorkspaceId.of("workspace-1")),
                    ItemName.of(DatabaseGroupId.of("group-9"))))
            .withLeaving(
                List.of(
                    BackendServerId.of("group-0-a"),
                    BackendServerId.of("group-0-b"),
                    BackendServerId.of("group-0-c"),
                    BackendServerId.of("server-9")));

    MergeResult.Refused refused = refused(ReleaseNoteMerge.merge(CURRENT, note));

    assertThat(refused.code()).isEqualTo(ResultCode.NOTE_INVALID);
    assertThat(refused.faults())
        .extracting(NoteFault::path)
        .containsExactlyInAnyOrder(
            "added/workspaces/workspace-0",
            "added/servers/server-x",
            "changed/workspaces/absent",
            "changed/servers/group-1-b",
            "withdrawn/workspaces/workspace-1",
            "withdrawn/groups/group-9",
            "leaving/servers/server-9",
            "workspaces/lost/groups",
            "keys/" + KeyHash.ofKey("stray") + "/workspace",
            "keys/" + KeyHash.ofKey("key-1") + "/workspace",
            "groups/group-0/servers");
  }

  /** Guards against a changed group that restores a server which the same note withdraws. */
  @Test
  void shouldRefuseGroupThatListsWithdrawnServer() {
    ReleaseNote note =
        NOTE.withChanged(List.of(new ReleaseItem.GroupItem(Configurations.group("group-0"))))
            .withWithdrawn(List.of(ItemName.of(BackendServerId.of("group-0-a"))));

    assertThat(refused(ReleaseNoteMerge.merge(CURRENT, note)).faults())
        .extracting(NoteFault::path)
        .containsExactly("changed/groups/group-0/servers");
  }

  /** Guards against a release note with an outdated base that overwrites newer content. */
  @Test
  void shouldNameItemsChangedSinceBaseOfReleaseNote() {
    ReleaseNote first =
        NOTE.withChanged(
                List.of(workspace("workspace-0", "group-1"), workspace("workspace-1", "group-0")))
            .withLeaving(List.of(BackendServerId.of("group-0-a")));
    Configuration next = merged(ReleaseNoteMerge.merge(CURRENT, first));
    ReleaseNote second =
        NOTE.withAdded(List.of(workspace("new", "group-0")))
            .withChanged(List.of(workspace("workspace-0", "group-0")))
            .withWithdrawn(List.of(ItemName.of(DatabaseGroupId.of("group-0"))));

    MergeResult.Refused refused =
        refused(ReleaseNoteMerge.merge(next, second, Optional.of(CURRENT)));

    assertThat(refused.code()).isEqualTo(ResultCode.NOTE_CONFLICT);
    assertThat(refused.faults())
        .extracting(NoteFault::path)
        .containsExactly("base", "workspaces/workspace-0", "groups/group-0");
  }

  private static ReleaseItem workspace(String id, String group) {
    return new ReleaseItem.WorkspaceItem(Configurations.workspace(id, group));
  }

  private static ReleaseItem server(String group, String id) {
    return new ReleaseItem.ServerItem(
        DatabaseGroupId.of(group), Configurations.server(id, "zone-a"));
  }

  private static Configuration merged(MergeResult result) {
    assertThat(result).isInstanceOf(MergeResult.Merged.class);
    return ((MergeResult.Merged) result).configuration();
  }

  private static MergeResult.Refused refused(MergeResult result) {
    assertThat(result).isInstanceOf(MergeResult.Refused.class);
    return (MergeResult.Refused) result;
  }
}
