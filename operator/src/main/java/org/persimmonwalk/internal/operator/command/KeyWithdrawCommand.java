package org.persimmonwalk.internal.operator.command;

import java.util.List;
import java.util.regex.Pattern;
import org.kohsuke.args4j.Argument;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.release.ItemName;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Publishes a release note that withdraws the one caller key with the given hash prefix. */
final class KeyWithdrawCommand implements Subcommand {
  private static final Pattern PREFIX = Pattern.compile("[0-9a-f]{8,64}");

  @Argument(
      metaVar = "HASH-PREFIX",
      required = true,
      usage = "at least the first 8 digits of the key's hash")
  private String prefix;

  @Override
  public void run(OperatorSession session) {
    if (!PREFIX.matcher(prefix).matches()) {
      throw PersimmonwalkException.of(
          ResultCode.COMMAND_LINE_INVALID,
          "HASH-PREFIX must be 8 to 64 lower-case hexadecimal digits");
    }
    KeyHash[] withdrawn = new KeyHash[1];
    Revision revision =
        RebasingPublisher.publish(
            session,
            current -> {
              withdrawn[0] = find(current);
              return note(current, withdrawn[0]);
            });
    session
        .output()
        .result(Results.of("hash", withdrawn[0].value(), "revision", revision.number()));
    session.awaitRevision(revision);
  }

  private KeyHash find(Configuration current) {
    List<KeyHash> matches =
        current.keys().keySet().stream().filter(hash -> hash.value().startsWith(prefix)).toList();
    if (matches.isEmpty()) {
      throw PersimmonwalkException.of(
          ResultCode.NOT_FOUND,
          "no key has a hash that begins with " + prefix + "; check the digits");
    }
    if (matches.size() > 1) {
      throw PersimmonwalkException.of(
          ResultCode.COMMAND_LINE_INVALID,
          matches.size() + " keys have a hash that begins with " + prefix + "; give more digits");
    }
    return matches.get(0);
  }

  /** The id includes the revision, since a key may be withdrawn, added and withdrawn again. */
  private static ReleaseNote note(Configuration current, KeyHash hash) {
    String id = "withdraw-key-" + hash + "-" + current.revision().next();
    return ReleaseNote.of(ReleaseNoteId.of(id), current.revision())
        .withWithdrawn(List.of(ItemName.of(hash)));
  }
}
