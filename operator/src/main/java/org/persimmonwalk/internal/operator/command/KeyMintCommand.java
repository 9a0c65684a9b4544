package org.persimmonwalk.internal.operator.command;

import java.util.List;
import org.kohsuke.args4j.Argument;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.release.ReleaseItem;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * Generates a caller key, publishes a release note that adds its hash, and prints the key, which is
 * stored nowhere.
 */
final class KeyMintCommand implements Subcommand {
  @Argument(
      metaVar = "WORKSPACE",
      required = true,
      usage = "the workspace that the key gives access to")
  private String workspace;

  @Override
  public void run(OperatorSession session) {
    String key = session.keys().next();
    KeyHash hash = KeyHash.ofKey(key);
    Revision revision = RebasingPublisher.publish(session, current -> note(current, hash));
    session
        .output()
        .result(
            Results.of(
                "workspace",
                workspace,
                "key",
                key,
                "hash",
                hash.value(),
                "revision",
                revision.number()));
    session.awaitRevision(revision);
  }

  private ReleaseNote note(Configuration current, KeyHash hash) {
    WorkspaceId id =
        current.workspaces().keySet().stream()
            .filter(known -> known.value().equals(workspace))
            .findFirst()
            .orElseThrow(
                () ->
                    PersimmonwalkException.of(
                        ResultCode.NOT_FOUND,
                        "workspace " + workspace + " does not exist; check its name"));
    return ReleaseNote.of(ReleaseNoteId.of("mint-key-" + hash), current.revision())
        .withAdded(List.of(new ReleaseItem.KeyItem(CallerKey.of(hash, id))));
  }
}
