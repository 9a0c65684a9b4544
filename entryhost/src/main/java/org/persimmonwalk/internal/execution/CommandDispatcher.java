package org.persimmonwalk.internal.execution;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.port.CommandExecutor;
import org.tinylog.Logger;

/** Passes each command to the handler that is registered for its type. */
public final class CommandDispatcher implements CommandExecutor {
  private final Map<Class<?>, CommandHandler<Command>> handlers = new ConcurrentHashMap<>();

  private CommandDispatcher() {}

  /** Returns a dispatcher without handlers. */
  public static CommandDispatcher create() {
    return new CommandDispatcher();
  }

  /** Sets the handler of a type of command. */
  public <C extends Command> void register(Class<C> type, CommandHandler<C> handler) {
    handlers.put(type, command -> handler.handle(type.cast(command)));
  }

  @Override
  public void execute(Command command) {
    CommandHandler<Command> handler = handlers.get(command.getClass());
    if (handler == null) {
      Logger.error(
          "command {} is dropped: no handler is registered for its type",
          command.getClass().getSimpleName());
      return;
    }
    try {
      handler.handle(command);
    } catch (RuntimeException e) {
      Logger.error(e, "command {} could not be started", command);
    }
  }
}
