package org.persimmonwalk.internal.operator.command;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.persimmonwalk.internal.operator.note.ReleaseNoteReader;
import org.persimmonwalk.release.ReleaseNote;

/**
 * Checks the form of a release note and, with {@code --platform}, whether it merges into the
 * configuration in force. Publishes nothing.
 */
final class CheckCommand implements Subcommand {
  @Argument(metaVar = "NOTE.yaml", required = true, usage = "the release note")
  private Path file;

  @Override
  public void run(OperatorSession session) {
    ReleaseNote note = ReleaseNoteReader.create().read(file);
    boolean merged = session.options().hasPlatform();
    if (merged) {
      NotePreview.of(session, note);
    }
    session
        .output()
        .result(
            Results.of(
                "note", note.id().value(),
                "base", note.base().number(),
                "items", note.touched().size(),
                "checked", merged ? "form and merge" : "form only; name --platform for the merge"));
  }
}
