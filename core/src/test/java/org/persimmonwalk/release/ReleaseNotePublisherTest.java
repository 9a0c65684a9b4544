package org.persimmonwalk.release;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.testing.Configurations;
import org.persimmonwalk.testing.FakeConfigurationStore;

class ReleaseNotePublisherTest {
  private final FakeConfigurationStore store = new FakeConfigurationStore();
  private final ReleaseNotePublisher publisher = publisher(1);

  @BeforeEach
  void installFirstRevision() {
    store.install(Configurations.of(1, 1, 2));
  }

  /**
   * Guards against an overwritten update: two operators publish on the same base, and the second
   * note replaces the first or is merged with it instead of being refused.
   */
  @Test
  void shouldAcceptOneOfTwoConflictingReleaseNotesAndNameTheConflict() {
    ReleaseNote other = note("rival", 300);
    store.runBeforeNextWrite(() -> assertAccepted(publish(publisher(2), other), 2));

    PublishResult result = publish(publisher, note("mine", 200));

    assertThat(result)
        .isInstanceOfSatisfying(
            PublishResult.Refused.class,
            refused -> {
              assertThat(refused.code()).isEqualTo(ResultCode.NOTE_CONFLICT);
              assertThat(refused.faults())
                  .extracting(NoteFault::path)
                  .containsExactly("base", "workspaces/workspace-0");
            });
    assertThat(rate()).isEqualTo(300);
    assertThat(store.current().revision()).isEqualTo(Revision.of(2));
  }

  /**
   * Guards against a release note that is applied twice or refused after its compare-and-set
   * succeeded and only the answer was lost.
   */
  @Test
  void shouldReportAcceptedWhenRowHoldsOwnNoteAfterLostAnswer() {
    store.loseAnswers(1);

    assertAccepted(publish(publisher, note("mine", 200)), 2);
    assertThat(store.current().revision()).isEqualTo(Revision.of(2));
    assertThat(rate()).isEqualTo(200);
  }

  /**
   * Guards against reporting an accepted release note as refused or lost because another operator
   * published the next revision before the row was read again.
   */
  @Test
  void shouldFindOwnNoteInHistoryWhenAnotherNoteFollowed() {
    ReleaseNote following =
        ReleaseNote.of(ReleaseNoteId.of("following"), Revision.of(2))
            .withChanged(List.of(change("workspace-1", 50)));
    store.loseAnswers(1);
    ReleaseNotePublisher interrupted =
        ReleaseNotePublisher.of(
            store,
            store,
            RandomSource.seeded(3),
            retry -> {
              assertAccepted(publish(publisher, following), 3);
              return CompletableFuture.completedStage(null);
            });

    assertAccepted(publish(interrupted, note("mine", 200)), 2);
  }

  /** Guards against giving up when the request was lost before it reached the platform. */
  @Test
  void shouldResendCompareAndSetWhenRowIsUnchanged() {
    store.loseRequests(2);

    assertAccepted(publish(publisher, note("mine", 200)), 2);
  }

  /**
   * Guards against reporting a note as refused or without effect while it may still take effect.
   */
  @Test
  void shouldReportUnknownOutcomeWhenNoAnswerComes() {
    store.loseRequests(100);

    assertThat(publish(publisher, note("mine", 200)))
        .isInstanceOfSatisfying(
            PublishResult.Failed.class,
            failed -> assertThat(failed.code()).isEqualTo(ResultCode.NOTE_OUTCOME_UNKNOWN));
  }

  /** Guards against a second revision when the operator submits an accepted note again. */
  @Test
  void shouldAcceptRepeatedSubmissionOnce() {
    assertAccepted(publish(publisher, note("mine", 200)), 2);
    assertAccepted(publish(publisher, note("mine", 200)), 2);
    assertThat(store.current().revision()).isEqualTo(Revision.of(2));
  }

  /** Guards against waiting forever or throwing an exception while the platform is down. */
  @Test
  void shouldReportUnavailablePlatform() {
    store.setReachable(false);

    assertThat(publish(publisher, note("mine", 200)))
        .isInstanceOfSatisfying(
            PublishResult.Failed.class,
            failed -> assertThat(failed.code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE));
  }

  private ReleaseNotePublisher publisher(long seed) {
    return ReleaseNotePublisher.of(
        store, store, RandomSource.seeded(seed), retry -> CompletableFuture.completedStage(null));
  }

  private static PublishResult publish(ReleaseNotePublisher publisher, ReleaseNote note) {
    return publisher.publish(note).toCompletableFuture().join();
  }

  private static ReleaseNote note(String id, double rate) {
    return ReleaseNote.of(ReleaseNoteId.of(id), Revision.of(1))
        .withChanged(List.of(change("workspace-0", rate)));
  }

  private static ReleaseItem change(String workspace, double rate) {
    return new ReleaseItem.WorkspaceItem(
        Workspace.of(WorkspaceId.of(workspace), rate, 10, Set.of(DatabaseGroupId.of("group-0"))));
  }

  private double rate() {
    return store.current().workspace(WorkspaceId.of("workspace-0")).orElseThrow().rate();
  }

  private static void assertAccepted(PublishResult result, long revision) {
    assertThat(result).isEqualTo(new PublishResult.Accepted(Revision.of(revision)));
  }
}
