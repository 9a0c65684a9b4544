package org.persimmonwalk.testing;

import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.port.CommandExecutor;

/** Records the commands of the controllers and executes none; the test answers them itself. */
public final class RecordingCommandExecutor implements CommandExecutor {
  private final List<Command> commands = new ArrayList<>();

  @Override
  public void execute(Command command) {
    commands.add(command);
  }

  /** Returns the recorded commands of the given type and discards all recorded commands. */
  public <T extends Command> List<T> take(Class<T> type) {
    List<T> taken = commands.stream().filter(type::isInstance).map(type::cast).toList();
    commands.clear();
    return taken;
  }
}
