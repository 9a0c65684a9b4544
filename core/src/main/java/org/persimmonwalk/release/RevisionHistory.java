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

/**
 * Searches earlier revisions of the configuration. Each configuration object names the object of
 * the revision before it, and the search follows these links back from the current object.
 */
final class RevisionHistory {
  /**
   * Revisions that a search reads, about half a day of changes at 230 a day. If the base of a
   * release note is further back, a conflict lists every item of the note, whether changed or not.
   */
  private static final int LENGTH_LIMIT = 128;

  private final ObjectStore objects;

  private RevisionHistory(ObjectStore objects) {
    this.objects = objects;
  }

  static RevisionHistory of(ObjectStore objects) {
    return new RevisionHistory(objects);
  }

  /**
   * The result of a search.
   *
   * @param base the configuration that the release note is based on, if the search reached it
   * @param published the revision that the release note produced, if one of the revisions after its
   *     base has its id
   */
  record SearchResult(Optional<Configuration> base, Optional<Revision> published) {}

  /**
   * Searches from the given object back to the base of the release note, for the base and for a
   * revision that the note produced.
   */
  CompletionStage<SearchResult> search(StoredConfiguration newest, ReleaseNote note) {
    return search(newest, note.id(), note.base(), Optional.empty(), LENGTH_LIMIT);
  }

  private CompletionStage<SearchResult> search(
      StoredConfiguration stored,
      ReleaseNoteId note,
      Revision base,
      Optional<Revision> published,
      int remaining) {
    Configuration configuration = stored.configuration();
    if (!configuration.revision().isNewerThan(base)) {
      return CompletableFuture.completedStage(
          new SearchResult(
              Optional.of(configuration).filter(found -> found.revision().equals(base)),
              published));
    }
    Optional<Revision> publishedSoFar =
        configuration.note().equals(note) ? Optional.of(configuration.revision()) : published;
    Optional<ObjectName> previous = stored.previous();
    if (previous.isEmpty()) {
      Optional<Configuration> empty =
          Optional.of(Configuration.EMPTY).filter(found -> found.revision().equals(base));
      return CompletableFuture.completedStage(new SearchResult(empty, publishedSoFar));
    }
    if (remaining == 0) {
      return CompletableFuture.completedStage(new SearchResult(Optional.empty(), publishedSoFar));
    }
    return objects
        .get(previous.get())
        .thenCompose(
            found ->
                found.isEmpty()
                    ? CompletableFuture.completedStage(
                        new SearchResult(Optional.empty(), publishedSoFar))
                    : search(found.get(), note, base, publishedSoFar, remaining - 1));
  }
}
