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
 * Publishes release notes: reads the configuration row, merges, writes the object and moves the row
 * by compare-and-set.
 *
 * <p>Each attempt writes an object of its own, so that operators who publish at the same time never
 * replace an object that a row names. After a lost answer the row is read again: if the release
 * note is in the history of the row, it was accepted. If the row is unchanged, the same
 * compare-and-set is sent again, since the lost request may still arrive and only one of the two
 * can succeed.
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

  /** Returns a publisher that uses the given ports. */
  public static ReleaseNotePublisher of(
      TableService table, ObjectStore objects, RandomSource random, RetryPause pause) {
    return new ReleaseNotePublisher(table, objects, random, pause);
  }

  /** Publishes a release note. Failures of the platform lead to {@link PublishResult.Failed}. */
  public CompletionStage<PublishResult> publish(ReleaseNote note) {
    return new Publication(note).decide(1);
  }

  /** The row and the configuration that it names. */
  private record CurrentState(
      RowVersion version, Optional<ConfigurationRow> row, StoredConfiguration stored) {}

  /** A configuration that is written as an object and waits for the row to be moved. */
  private record Proposal(RowVersion expected, ConfigurationRow row) {}

  /** The publication of one release note; its steps run one after the other. */
  private final class Publication {
    private final ReleaseNote note;
    private Optional<Proposal> proposal = Optional.empty();
    private boolean outcomeUnknown;

    private Publication(ReleaseNote note) {
      this.note = note;
    }

    /** Reads the state of the platform and takes the next step. */
    private CompletionStage<PublishResult> decide(int attempt) {
      return guard(readCurrent().thenCompose(state -> advance(state, attempt)), attempt);
    }

    private CompletionStage<PublishResult> advance(CurrentState state, int attempt) {
      if (proposal.isPresent() && proposal.get().expected().equals(state.version())) {
        return compareAndSet(proposal.get(), attempt);
      }
      return RevisionHistory.of(objects)
          .search(state.stored(), note)
          .thenCompose(findings -> merge(state, findings, attempt));
    }

    private CompletionStage<PublishResult> merge(
        CurrentState state, RevisionHistory.Findings findings, int attempt) {
      if (findings.published().isPresent()) {
        return done(new PublishResult.Accepted(findings.published().get()));
      }
      if (outcomeUnknown && findings.base().isEmpty()) {
        return done(failed(ResultCode.NOTE_OUTCOME_UNKNOWN, "the history of revisions ended"));
      }
      MergeResult result =
          ReleaseNoteMerge.merge(state.stored().configuration(), note, findings.base());
      if (result instanceof MergeResult.Refused refused) {
        return done(new PublishResult.Refused(refused.code(), refused.faults()));
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

    private CompletionStage<PublishResult> compareAndSet(Proposal proposed, int attempt) {
      return table
          .compareAndSet(ConfigurationRow.ROW, proposed.expected(), proposed.row())
          .thenCompose(
              result ->
                  switch (result.outcome()) {
                    case WRITTEN -> done(new PublishResult.Accepted(proposed.row().revision()));
                    case CONFLICT -> repeat(attempt);
                    case UNAVAILABLE -> repeat(attempt);
                    case UNKNOWN -> {
                      outcomeUnknown = true;
                      yield repeat(attempt);
                    }
                  });
    }

    private CompletionStage<PublishResult> repeat(int attempt) {
      if (attempt < ATTEMPT_LIMIT) {
        return pause.await(attempt).thenCompose(ignored -> decide(attempt + 1));
      }
      ResultCode code =
          outcomeUnknown ? ResultCode.NOTE_OUTCOME_UNKNOWN : ResultCode.PLATFORM_UNAVAILABLE;
      return done(failed(code, "the platform did not answer in " + ATTEMPT_LIMIT + " attempts"));
    }

    private PublishResult failed(ResultCode code, String cause) {
      String message =
          "release note " + note.id() + " is not confirmed: " + cause + "; submit it again";
      return new PublishResult.Failed(code, message);
    }

    /** Repeats a step that the platform did not answer; another failure ends the publication. */
    private CompletionStage<PublishResult> guard(CompletionStage<PublishResult> step, int attempt) {
      return step.handle(
              (result, failure) -> failure == null ? done(result) : afterFailure(failure, attempt))
          .thenCompose(stage -> stage);
    }

    private CompletionStage<PublishResult> afterFailure(Throwable failure, int attempt) {
      Throwable cause = failure.getCause() == null ? failure : failure.getCause();
      if (!(cause instanceof PersimmonwalkException known)) {
        return CompletableFuture.failedStage(cause);
      }
      if (known.code() == ResultCode.PLATFORM_UNAVAILABLE) {
        return repeat(attempt);
      }
      ResultCode code = outcomeUnknown ? ResultCode.NOTE_OUTCOME_UNKNOWN : known.code();
      return done(new PublishResult.Failed(code, known.getMessage()));
    }

    private CompletionStage<PublishResult> done(PublishResult result) {
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
                    read.version(), Optional.of(row), found.orElseThrow(() -> missing(row))));
  }

  private static PersimmonwalkException missing(ConfigurationRow row) {
    return PersimmonwalkException.of(
        ResultCode.PLATFORM_ANSWER_INVALID,
        "object " + row.object() + " of revision " + row.revision() + " does not exist");
  }

  /** The name differs at each attempt, so that an object in force is never written again. */
  private ObjectName newName(Revision revision) {
    int high = random.nextInt(Integer.MAX_VALUE);
    int low = random.nextInt(Integer.MAX_VALUE);
    return ObjectName.of(String.format("configuration-%d-%08x%08x", revision.number(), high, low));
  }
}
