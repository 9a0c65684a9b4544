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

/**
 * An entry host of a {@link FailoverFleet}: a control loop whose commands reach the fleet's fake
 * database group and table service over its links.
 */
public final class FailoverHost implements CommandExecutor {
  private final EntryHostId id;
  private final FailoverFleet fleet;
  private final ControlLoop loop;
  private Consumer<Command> onCommand = command -> {};
  private Class<? extends Command> commandsLosingAnswers = Command.class;
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

  /** Returns the state of the promotion of the fleet's group at this host, if there is one. */
  public Optional<Promotion> promotion() {
    return Optional.ofNullable(
        loop.snapshot().get(Entries.PROMOTIONS).get(fleet.database().configuration().id()));
  }

  /**
   * Sets an action that is called with each command before it is sent. The action may kill or pause
   * the host; the command is then not sent.
   */
  public void onCommand(Consumer<Command> action) {
    onCommand = action;
  }

  /** Drops the next answers to commands of the given type; the commands still take effect. */
  public void loseAnswers(Class<? extends Command> type, int count) {
    commandsLosingAnswers = type;
    answersToLose = count;
  }

  /** Kills the host; it cannot be started again. */
  public void die() {
    dead = true;
  }

  /** Pauses the control thread until {@link #resume}; answers are queued meanwhile. */
  public void pause() {
    paused = true;
  }

  /** Resumes the control thread after a pause. */
  public void resume() {
    paused = false;
  }

  /** Returns whether the host is neither dead nor paused. */
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
      sendToServer(
          command,
          name,
          () -> new ServerSampled(sample.server().id(), database.sample(name), startedAt));
    } else if (command instanceof FenceServer fence) {
      String name = fence.server().id().value();
      sendToServer(command, name, () -> database.fence(name, fence.term(), fence.host()));
    } else if (command instanceof PromoteServer promote) {
      String name = promote.server().id().value();
      sendToServer(command, name, () -> database.promote(name, promote.term(), promote.host()));
    } else if (command instanceof FollowPrimary follow) {
      String name = follow.server().id().value();
      String primary = follow.primary().id().value();
      sendToServer(command, name, () -> database.follow(name, follow.term(), primary));
    } else {
      sendToPlatform(command);
    }
  }

  private void sendToPlatform(Command command) {
    if (!isPlatformReachable()) {
      return;
    }
    if (command instanceof ReadTableRow read) {
      fleet.tables().read(read, fleet.now(), this::receiveFromPlatform);
    } else if (command instanceof CompareAndSetTableRow write) {
      fleet.tables().write(write, fleet.now(), this::receiveFromPlatform);
    }
  }

  private void receiveFromPlatform(Observation result) {
    if (!dead && isPlatformReachable()) {
      loop.post(result);
    }
  }

  private boolean isPlatformReachable() {
    return fleet.links().isOpen(id.value(), FakeLinks.PLATFORM);
  }

  private void sendToServer(
      Command command, String machine, Supplier<? extends Observation> answer) {
    fleet.call(
        id.value(),
        machine,
        answer,
        result -> {
          if (commandsLosingAnswers.isInstance(command) && answersToLose > 0) {
            answersToLose--;
          } else if (!dead) {
            loop.post(result);
          }
        });
  }
}
