package org.persimmonwalk.testing;

import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.port.CommandExecutor;

/** Keeps the commands of the controllers for the test to read and to answer. */
public final class RecordingCommandExecutor implements CommandExecutor {
  private final List<Command> commands = new ArrayList<>();

  @Override
  public void execute(Command command) {
    commands.add(command);
  }

  /** Returns the commands since the last call that are of the given type, and forgets all. */
  public <T extends Command> List<T> take(Class<T> type) {
    List<T> taken = commands.stream().filter(type::isInstance).map(type::cast).toList();
    commands.clear();
    return taken;
  }
}
