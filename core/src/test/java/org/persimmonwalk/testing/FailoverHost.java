package org.persimmonwalk.testing;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.FenceServer;
import org.persimmonwalk.command.FollowPrimary;
import org.persimmonwalk.command.PromoteServer;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.command.SampleServer;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.Promotion;
import org.persimmonwalk.observation.ServerSampled;
import org.persimmonwalk.port.CommandExecutor;
import org.persimmonwalk.port.RandomSource;

/** A control loop whose commands reach the fakes of a {@link FailoverFleet} over its links. */
public final class FailoverHost implements CommandExecutor {
  private final EntryHostId id;
  private final FailoverFleet fleet;
  private final ControlLoop loop;
  private Consumer<Command> onCommand = command -> {};
  private Class<? extends Command> losing = Command.class;
  private int answersToLose;
  private boolean paused;
  private boolean dead;

  private FailoverHost(
      EntryHostId id, FailoverFleet fleet, List<Controller> controllers, RandomSource random) {
    this.id = id;
    this.fleet = fleet;
    this.loop = ControlLoop.of(controllers, this, fleet.clock(), random);
  }

  static FailoverHost of(
      EntryHostId id, FailoverFleet fleet, List<Controller> controllers, RandomSource random) {
    return new FailoverHost(id, fleet, controllers, random);
  }

  /** Returns the host's identifier, also its name in {@link FakeLinks}. */
  public EntryHostId id() {
    return id;
  }

  /** Returns the host's control loop. */
  public ControlLoop loop() {
    return loop;
  }

  /** Returns the host's promotion of the fleet's group, if it has one. */
  public Optional<Promotion> promotion() {
    return Optional.ofNullable(
        loop.snapshot().get(Entries.PROMOTIONS).get(fleet.database().configuration().id()));
  }

  /** Tells the action of each command before it is sent; it may stop or pause the host. */
  public void onCommand(Consumer<Command> action) {
    onCommand = action;
  }

  /** Loses the next answers to commands of the given type, after they took effect. */
  public void loseAnswers(Class<? extends Command> type, int count) {
    losing = type;
    answersToLose = count;
  }

  /** Stops the host for good. */
  public void die() {
    dead = true;
  }

  /** Stops the control thread until {@link #resume}; answers queue meanwhile. */
  public void pause() {
    paused = true;
  }

  /** Lets the control thread go on. */
  public void resume() {
    paused = false;
  }

  /** Returns whether the host runs. */
  public boolean isRunning() {
    return !dead && !paused;
  }

  void runRound() {
    if (isRunning()) {
      loop.runRound();
    }
  }

  @Override
  public void execute(Command command) {
    if (isRunning()) {
      onCommand.accept(command);
    }
    if (!isRunning()) {
      return;
    }
    FakeDatabaseGroup database = fleet.database();
    if (command instanceof SampleServer sample) {
      MonotonicTime startedAt = fleet.clock().now();
      String name = sample.server().id().value();
      ask(
          command,
          name,
          () -> new ServerSampled(sample.server().id(), database.sample(name), startedAt));
    } else if (command instanceof FenceServer fence) {
      String name = fence.server().id().value();
      ask(command, name, () -> database.fence(name, fence.term(), fence.host()));
    } else if (command instanceof PromoteServer promote) {
      String name = promote.server().id().value();
      ask(command, name, () -> database.promote(name, promote.term(), promote.host()));
    } else if (command instanceof FollowPrimary follow) {
      String name = follow.server().id().value();
      String primary = follow.primary().id().value();
      ask(command, name, () -> database.follow(name, follow.term(), primary));
    } else {
      askPlatform(command);
    }
  }

  private void askPlatform(Command command) {
    if (!isPlatformReachable()) {
      return;
    }
    if (command instanceof ReadTableRow read) {
      fleet.tables().read(read, fleet.now(), this::answerFromPlatform);
    } else if (command instanceof CompareAndSetTableRow write) {
      fleet.tables().write(write, fleet.now(), this::answerFromPlatform);
    }
  }

  private void answerFromPlatform(Observation result) {
    if (!dead && isPlatformReachable()) {
      loop.post(result);
    }
  }

  private boolean isPlatformReachable() {
    return fleet.links().isOpen(id.value(), FakeLinks.PLATFORM);
  }

  private void ask(Command command, String machine, Supplier<? extends Observation> answer) {
    fleet.call(
        id.value(),
        machine,
        answer,
        result -> {
          if (losing.isInstance(command) && answersToLose > 0) {
            answersToLose--;
          } else if (!dead) {
            loop.post(result);
          }
        });
  }
}
