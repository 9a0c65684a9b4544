package org.persimmonwalk.release;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.StoredConfiguration;
import org.persimmonwalk.port.ObjectStore;

/** Follows the chain of configuration objects from the current one back to earlier revisions. */
final class RevisionHistory {
  /** About half a day of changes at 230 a day; further back the conflict is named item by item. */
  private static final int LENGTH_LIMIT = 128;

  private final ObjectStore objects;

  private RevisionHistory(ObjectStore objects) {
    this.objects = objects;
  }

  static RevisionHistory of(ObjectStore objects) {
    return new RevisionHistory(objects);
  }

  /**
   * What the chain says of a release note.
   *
   * @param base the configuration that the release note is based on, if the chain reaches it
   * @param published the revision that the release note led to, if it did after its base
   */
  record Findings(Optional<Configuration> base, Optional<Revision> published) {}

  /** Looks for the note and its base, from the given object back to the base. */
  CompletionStage<Findings> search(StoredConfiguration newest, ReleaseNote note) {
    return search(newest, note.id(), note.base(), Optional.empty(), LENGTH_LIMIT);
  }

  private CompletionStage<Findings> search(
      StoredConfiguration stored,
      ReleaseNoteId note,
      Revision base,
      Optional<Revision> published,
      int remaining) {
    Configuration configuration = stored.configuration();
    if (!configuration.revision().isNewerThan(base)) {
      return CompletableFuture.completedStage(
          new Findings(
              Optional.of(configuration).filter(found -> found.revision().equals(base)),
              published));
    }
    Optional<Revision> nowPublished =
        configuration.note().equals(note) ? Optional.of(configuration.revision()) : published;
    Optional<ObjectName> previous = stored.previous();
    if (previous.isEmpty()) {
      Optional<Configuration> empty =
          Optional.of(Configuration.EMPTY).filter(found -> found.revision().equals(base));
      return CompletableFuture.completedStage(new Findings(empty, nowPublished));
    }
    if (remaining == 0) {
      return CompletableFuture.completedStage(new Findings(Optional.empty(), nowPublished));
    }
    return objects
        .get(previous.get())
        .thenCompose(
            found ->
                found.isEmpty()
                    ? CompletableFuture.completedStage(new Findings(Optional.empty(), nowPublished))
                    : search(found.get(), note, base, nowPublished, remaining - 1));
  }
}
