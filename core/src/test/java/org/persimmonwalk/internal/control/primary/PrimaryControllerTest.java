package org.persimmonwalk.internal.control.primary;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.FenceServer;
import org.persimmonwalk.command.FollowPrimary;
import org.persimmonwalk.command.PromoteServer;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PromotionClaim;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.testing.FailoverFleet;
import org.persimmonwalk.testing.FailoverHost;
import org.persimmonwalk.testing.FakeLinks;

/**
 * Guards against failovers that leave a group without a primary, with the wrong one, or without
 * acknowledged writes, when servers, hosts, links or the table service fail.
 */
class PrimaryControllerTest {
  private static final DatabaseGroupId GROUP = DatabaseGroupId.of("tanks");

  private FailoverFleet fleet = FailoverFleet.standard(3, 1);

  @BeforeEach
  void startWithConfirmedPrimary() {
    run(1000);
    assertThat(fleet.acknowledged()).isNotEmpty();
  }

  @Test
  void shouldPromoteReplicaWhenPrimaryIsGone() {
    fleet.database().stop("a");
    run(4000);

    assertHealthyAfterFailover();
    assertThat(fleet.database().term()).isEqualTo(Term.of(2));
    assertThat(claim().promoted()).isPresent();
  }

  @Test
  void shouldFinishPromotionOfHostThatDiedAfterFencing() {
    firstHost().onCommand(command -> killFirstHostBefore(command, PromoteServer.class));
    fleet.database().stop("a");
    run(8000);

    assertThat(firstHost().isRunning()).isFalse();
    assertHealthyAfterFailover();
  }

  /**
   * Each host sees only itself as live, so that all have rank 0 and act at once. Each has a fast
   * link to a different replica, so that in the first term every host fences one replica and none
   * fences both.
   */
  @Test
  void shouldGetOnePrimaryWhenHostsPromoteAtOnce() {
    fleet =
        FailoverFleet.of(
            2,
            1,
            this::controllersThatSeeOnlySelf,
            FailoverFleet::replicatedAcknowledgement,
            Duration.ofMillis(20));
    Map<Term, Set<EntryHostId>> fencing = new HashMap<>();
    fleet.links().isolate(FakeLinks.PLATFORM);
    for (FailoverHost host : fleet.hosts()) {
      String far = host.id().value().equals("host-1") ? "b" : "c";
      fleet.links().setLatency(host.id().value(), far, Duration.ofMillis(100));
      host.onCommand(
          command -> {
            if (command instanceof FenceServer fence) {
              fencing.computeIfAbsent(fence.term(), term -> new HashSet<>()).add(fence.host());
            }
          });
    }
    run(2000);
    fleet.database().stop("a");
    run(15_000);

    assertThat(fencing.get(Term.of(2))).hasSizeGreaterThan(1);
    assertHealthyAfterFailover();
  }

  @Test
  void shouldRepeatCommandsWhoseAnswersAreLost() {
    for (FailoverHost host : fleet.hosts()) {
      host.loseAnswers(FenceServer.class, 1);
      host.onCommand(
          command -> {
            if (command instanceof PromoteServer && fleet.database().term().equals(Term.of(1))) {
              host.loseAnswers(PromoteServer.class, 1);
            }
          });
    }
    fleet.database().stop("a");
    run(5000);

    assertHealthyAfterFailover();
    assertThat(fleet.database().term()).isEqualTo(Term.of(2));
  }

  @Test
  void shouldRepeatPromotionCommandThatIsLost() {
    for (FailoverHost host : fleet.hosts()) {
      host.onCommand(
          command -> {
            if (command instanceof PromoteServer promote) {
              cutLinkFor(host.id().value(), promote.server().id().value(), 200);
            }
          });
    }
    fleet.time().after(Duration.ofMillis(2600), this::removeCommandListeners);
    fleet.database().stop("a");
    run(5000);

    assertHealthyAfterFailover();
    assertThat(fleet.database().term()).isEqualTo(Term.of(2));
  }

  @Test
  void shouldPromoteWhenTableServiceDoesNotAnswer() {
    fleet.links().isolate(FakeLinks.PLATFORM);
    fleet.database().stop("a");
    run(5000);

    assertHealthyAfterFailover();
  }

  @Test
  void shouldPromoteWhenTableServiceRefusesOrLosesAnswers() {
    fleet.tables().setLostAnswerPercent(100);
    fleet.database().stop("a");
    run(4000);
    assertHealthyAfterFailover();

    String primary = fleet.database().primary().orElseThrow();
    fleet.database().start("a");
    fleet.tables().setDown(true);
    run(2000);
    fleet.database().stop(primary);
    run(4000);
    assertHealthyAfterFailover();
  }

  @Test
  void shouldPromoteDespiteClaimOfPausedHostAndRefuseThatHostLater() {
    FailoverHost paused = firstHost();
    paused.onCommand(
        command -> {
          if (command instanceof PromoteServer) {
            paused.onCommand(other -> {});
            paused.pause();
          }
        });
    fleet.database().stop("a");
    run(8000);
    assertThat(paused.isRunning()).isFalse();
    assertHealthyAfterFailover();
    String primary = fleet.database().primary().orElseThrow();
    Term term = fleet.database().term();

    paused.resume();
    run(3000);

    assertThat(fleet.database().primary()).contains(primary);
    assertThat(fleet.database().term()).isEqualTo(term);
    assertThat(paused.promotion()).isEmpty();
  }

  @Test
  void shouldMakeReturningOldPrimaryFollow() {
    fleet.links().isolate("a");
    run(5000);
    assertHealthyAfterFailover();
    assertThat(fleet.database().sample("a").role()).isEqualTo(ServerRole.PRIMARY);

    fleet.links().heal("a");
    run(1000);

    assertThat(fleet.database().sample("a").role()).isEqualTo(ServerRole.REPLICA);
    assertThat(fleet.database().sample("a").term()).isEqualTo(fleet.database().term());
  }

  /**
   * Guards against choosing the server with the highest position: the isolated primary continues to
   * write, so that its log is the longest but of a lower term.
   */
  @Test
  void shouldPreferNewerTermToLongerTailOfOldPrimary() {
    fleet.links().isolate("a");
    for (int write = 0; write < 10_000; write++) {
      fleet.database().write("a", -1 - write);
    }
    run(5000);
    String second = fleet.database().primary().orElseThrow();
    fleet.links().cut("a", second);
    fleet.links().heal("a");
    fleet.database().stop(second);
    run(6000);

    assertHealthyAfterFailover();
    assertThat(fleet.database().primary()).isNotEqualTo(Optional.of("a"));
  }

  @Test
  void shouldNotPromoteWithTooFewFencedServersAndKeepTrying() {
    for (FailoverHost host : fleet.hosts()) {
      host.onCommand(
          command -> {
            if (command instanceof FenceServer) {
              fleet.links().isolate("c");
            }
          });
    }
    fleet.database().stop("a");
    run(10_000);
    assertThat(fleet.database().sample("b").role()).isEqualTo(ServerRole.FENCED);
    assertThat(fleet.database().term()).isEqualTo(Term.of(1));

    removeCommandListeners();
    fleet.links().heal("c");
    run(6000);
    assertHealthyAfterFailover();
  }

  @Test
  void shouldNotPromoteWhenOnlyOneHostCannotReachPrimary() {
    Set<Command> sent = new HashSet<>();
    fleet.hosts().forEach(host -> host.onCommand(command -> addIfFailoverCommand(command, sent)));
    fleet.links().setLatency(firstHost().id().value(), "a", Duration.ofSeconds(4));
    run(10_000);
    fleet.links().cut(firstHost().id().value(), "a");
    run(10_000);

    assertThat(sent).isEmpty();
    assertThat(fleet.database().term()).isEqualTo(Term.of(1));
  }

  @Test
  void shouldReturnReplicaThatDeadHostFencedToWorkingPrimary() {
    fleet.database().fence("b", Term.of(2), EntryHostId.of("dead-host"));
    run(6000);

    assertThat(fleet.database().primary()).contains("a");
    assertThat(fleet.database().sample("b").role()).isEqualTo(ServerRole.REPLICA);
    assertThat(fleet.database().sample("c").role()).isEqualTo(ServerRole.REPLICA);
    assertThat(fleet.lostWrites()).isEmpty();
  }

  @Test
  void shouldPromoteReplicaWhenWorkingPrimaryRefusesFences() {
    fleet.database().setPrimaryRefusesFences(true);
    fleet.database().fence("b", Term.of(2), EntryHostId.of("dead-host"));
    run(6000);

    assertHealthyAfterFailover();
    assertThat(fleet.database().sample("a").role()).isEqualTo(ServerRole.REPLICA);
  }

  /**
   * Checks that a server other than {@code a} is the primary, that writes are acknowledged in its
   * term, and that no acknowledged write is lost or was acknowledged by a replaced primary.
   */
  private void assertHealthyAfterFailover() {
    assertThat(fleet.database().primary()).isPresent();
    assertThat(fleet.database().primary()).isNotEqualTo(Optional.of("a"));
    assertThat(fleet.acknowledged())
        .anyMatch(entry -> entry.term().equals(fleet.database().term()));
    assertThat(fleet.lostWrites()).isEmpty();
    assertThat(fleet.acknowledged())
        .noneMatch(FailoverFleet.AcknowledgedWrite::committedByReplacedPrimary);
  }

  private FailoverHost firstHost() {
    Set<EntryHostId> live =
        fleet.hosts().stream().map(FailoverHost::id).collect(Collectors.toSet());
    return fleet.hosts().stream()
        .min(Comparator.comparingInt(host -> HostRank.of(host.id(), GROUP, live)))
        .orElseThrow();
  }

  private void killFirstHostBefore(Command command, Class<? extends Command> type) {
    if (type.isInstance(command)) {
      firstHost().die();
    }
  }

  private void cutLinkFor(String first, String second, long milliseconds) {
    fleet.links().cut(first, second);
    fleet.time().after(Duration.ofMillis(milliseconds), () -> fleet.links().restore(first, second));
  }

  private void removeCommandListeners() {
    fleet.hosts().forEach(host -> host.onCommand(command -> {}));
  }

  private static void addIfFailoverCommand(Command command, Set<Command> sent) {
    if (command instanceof FenceServer
        || command instanceof PromoteServer
        || command instanceof FollowPrimary
        || command instanceof CompareAndSetTableRow) {
      sent.add(command);
    }
  }

  private List<Controller> controllersThatSeeOnlySelf(EntryHostId host) {
    List<Controller> controllers = new ArrayList<>(FailoverFleet.controllers(host));
    controllers.add(0, (blackboard, context) -> blackboard.put(Entries.LIVE_HOSTS, Set.of(host)));
    return controllers;
  }

  private PromotionClaim claim() {
    return (PromotionClaim) fleet.tables().value(PromotionClaim.rowOf(GROUP)).orElseThrow();
  }

  private void run(long milliseconds) {
    fleet.time().advance(Duration.ofMillis(milliseconds));
  }
}
