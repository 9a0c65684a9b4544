package org.persimmonwalk.release;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.StoredConfiguration;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.port.ObjectStore;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.port.TableService;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * Publishes release notes for the operator's client: reads the configuration row, merges the note
 * into the configuration, writes the result as a new object and points the row to that object by
 * compare-and-set.
 *
 * <p>Each merge is written under a new object name, so that operators who publish at the same time
 * never overwrite an object that the row refers to. After a lost answer the row is read again: if a
 * revision that the release note produced is in the history of the row, the note was accepted. If
 * the row is unchanged, the same compare-and-set is sent again, since the lost request may still
 * arrive and only one of the two can succeed.
 */
public final class ReleaseNotePublisher {
  private static final int ATTEMPT_LIMIT = 5;

  private final TableService table;
  private final ObjectStore objects;
  private final RandomSource random;
  private final RetryPause pause;

  private ReleaseNotePublisher(
      TableService table, ObjectStore objects, RandomSource random, RetryPause pause) {
    this.table = Objects.requireNonNull(table, "table");
    this.objects = Objects.requireNonNull(objects, "objects");
    this.random = Objects.requireNonNull(random, "random");
    this.pause = Objects.requireNonNull(pause, "pause");
  }

  /** Returns a publisher that uses the given table, object store, random source and backoff. */
  public static ReleaseNotePublisher of(
      TableService table, ObjectStore objects, RandomSource random, RetryPause pause) {
    return new ReleaseNotePublisher(table, objects, random, pause);
  }

  /**
   * Publishes a release note. A failure of the platform results in {@link PublishResult.Failed}.
   */
  public CompletionStage<PublishResult> publish(ReleaseNote note) {
    return new Publication(note).startAttempt(1);
  }

  /** The configuration row and the configuration object that it refers to. */
  private record CurrentState(
      RowVersion version, Optional<ConfigurationRow> row, StoredConfiguration stored) {}

  /**
   * A configuration row whose object is written but whose compare-and-set has not succeeded yet.
   */
  private record Proposal(RowVersion expected, ConfigurationRow row) {}

  /** The publication of one release note. Its steps never run at the same time. */
  private final class Publication {
    private final ReleaseNote note;
    private Optional<Proposal> proposal = Optional.empty();
    private boolean outcomeUnknown;

    private Publication(ReleaseNote note) {
      this.note = note;
    }

    /** Reads the current configuration and continues from there. */
    private CompletionStage<PublishResult> startAttempt(int attempt) {
      return retryIfUnavailable(
          readCurrent().thenCompose(state -> resendOrMerge(state, attempt)), attempt);
    }

    private CompletionStage<PublishResult> resendOrMerge(CurrentState state, int attempt) {
      if (proposal.isPresent() && proposal.get().expected().equals(state.version())) {
        return compareAndSet(proposal.get(), attempt);
      }
      return RevisionHistory.of(objects)
          .search(state.stored(), note)
          .thenCompose(history -> merge(state, history, attempt));
    }

    private CompletionStage<PublishResult> merge(
        CurrentState state, RevisionHistory.SearchResult history, int attempt) {
      if (history.published().isPresent()) {
        return completed(new PublishResult.Accepted(history.published().get()));
      }
      if (outcomeUnknown && history.base().isEmpty()) {
        return completed(
            failed(
                ResultCode.NOTE_OUTCOME_UNKNOWN,
                "its base revision " + note.base() + " was not found in the history"));
      }
      MergeResult result =
          ReleaseNoteMerge.merge(state.stored().configuration(), note, history.base());
      if (result instanceof MergeResult.Refused refused) {
        return completed(new PublishResult.Refused(refused.code(), refused.faults()));
      }
      Configuration merged = ((MergeResult.Merged) result).configuration();
      ObjectName name = newName(merged.revision());
      ConfigurationRow next = ConfigurationRow.of(merged.revision(), note.id(), name);
      StoredConfiguration content =
          StoredConfiguration.of(merged, state.row().map(ConfigurationRow::object));
      return objects
          .put(name, content)
          .thenCompose(
              stored -> {
                proposal = Optional.of(new Proposal(state.version(), next));
                return compareAndSet(proposal.get(), attempt);
              });
    }

    private CompletionStage<PublishResult> compareAndSet(Proposal pending, int attempt) {
      return table
          .compareAndSet(ConfigurationRow.ROW, pending.expected(), pending.row())
          .thenCompose(
              result ->
                  switch (result.outcome()) {
                    case WRITTEN -> completed(new PublishResult.Accepted(pending.row().revision()));
                    case CONFLICT -> retry(attempt);
                    case UNAVAILABLE -> retry(attempt);
                    case UNKNOWN -> {
                      outcomeUnknown = true;
                      yield retry(attempt);
                    }
                  });
    }

    private CompletionStage<PublishResult> retry(int attempt) {
      if (attempt < ATTEMPT_LIMIT) {
        return pause.await(attempt).thenCompose(ignored -> startAttempt(attempt + 1));
      }
      ResultCode code =
          outcomeUnknown ? ResultCode.NOTE_OUTCOME_UNKNOWN : ResultCode.PLATFORM_UNAVAILABLE;
      return completed(
          failed(
              code,
              "the configuration row could not be updated in " + ATTEMPT_LIMIT + " attempts"));
    }

    private PublishResult failed(ResultCode code, String cause) {
      String message =
          "release note "
              + note.id()
              + " is not confirmed: "
              + cause
              + "; submit the same note again";
      return new PublishResult.Failed(code, message);
    }

    /** Retries if the platform was unavailable; any other failure ends the publication. */
    private CompletionStage<PublishResult> retryIfUnavailable(
        CompletionStage<PublishResult> step, int attempt) {
      return step.handle(
              (result, failure) ->
                  failure == null ? completed(result) : handleFailure(failure, attempt))
          .thenCompose(stage -> stage);
    }

    private CompletionStage<PublishResult> handleFailure(Throwable failure, int attempt) {
      Throwable cause = failure.getCause() == null ? failure : failure.getCause();
      if (!(cause instanceof PersimmonwalkException known)) {
        return CompletableFuture.failedStage(cause);
      }
      if (known.code() == ResultCode.PLATFORM_UNAVAILABLE) {
        return retry(attempt);
      }
      ResultCode code = outcomeUnknown ? ResultCode.NOTE_OUTCOME_UNKNOWN : known.code();
      return completed(new PublishResult.Failed(code, known.getMessage()));
    }

    private CompletionStage<PublishResult> completed(PublishResult result) {
      return CompletableFuture.completedStage(result);
    }
  }

  private CompletionStage<CurrentState> readCurrent() {
    return table.read(ConfigurationRow.ROW).thenCompose(this::readObject);
  }

  private CompletionStage<CurrentState> readObject(VersionedRow read) {
    if (read.value().isEmpty()) {
      StoredConfiguration none = StoredConfiguration.of(Configuration.EMPTY, Optional.empty());
      return CompletableFuture.completedStage(
          new CurrentState(read.version(), Optional.empty(), none));
    }
    if (!(read.value().get() instanceof ConfigurationRow row)) {
      throw PersimmonwalkException.of(
          ResultCode.PLATFORM_ANSWER_INVALID,
          "row " + ConfigurationRow.ROW + " does not hold a configuration; restore the row");
    }
    return objects
        .get(row.object())
        .thenApply(
            found ->
                new CurrentState(
                    read.version(), Optional.of(row), found.orElseThrow(() -> objectMissing(row))));
  }

  private static PersimmonwalkException objectMissing(ConfigurationRow row) {
    return PersimmonwalkException.of(
        ResultCode.PLATFORM_ANSWER_INVALID,
        "object "
            + row.object()
            + " of revision "
            + row.revision()
            + " does not exist; restore it");
  }

  /** Returns a new random name, so that the current object is never overwritten. */
  private ObjectName newName(Revision revision) {
    int high = random.nextInt(Integer.MAX_VALUE);
    int low = random.nextInt(Integer.MAX_VALUE);
    return ObjectName.of(String.format("configuration-%d-%08x%08x", revision.number(), high, low));
  }
}
