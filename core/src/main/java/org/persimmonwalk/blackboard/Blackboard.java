package org.persimmonwalk.blackboard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The control state of one host. Only the control thread uses it; other threads read a {@link
 * Snapshot}.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Configuration configuration = blackboard.get(Entries.CONFIGURATION);
 * blackboard.put(Entries.VALID_KEYS, configuration.keys());
 * blackboard.submit(new ListHosts());
 * }</pre>
 */
public final class Blackboard {
  private final Map<EntryKey<?>, Object> values = new HashMap<>();
  private final List<Command> commands = new ArrayList<>();
  private List<Observation> observations = List.of();
  private long round;

  private Blackboard() {}

  /** Returns a blackboard whose entries have their initial values. */
  public static Blackboard create() {
    return new Blackboard();
  }

  /** Returns the value of an entry. */
  @SuppressWarnings("unchecked")
  public <T> T get(EntryKey<T> key) {
    Object value = values.get(key);
    return value == null ? key.initialValue() : (T) value;
  }

  /** Replaces the value of an entry. */
  public <T> void put(EntryKey<T> key, T value) {
    values.put(key, Objects.requireNonNull(value, "value"));
  }

  /**
   * Returns this round's observations of the given type, in the order in which they were queued.
   */
  public <T extends Observation> Stream<T> observations(Class<T> type) {
    return observations.stream().filter(type::isInstance).map(type::cast);
  }

  /**
   * Replaces each of this round's observations by the result of the function. For a controller that
   * runs first and decides in one place which observations still count.
   */
  public void replaceObservations(UnaryOperator<Observation> replacement) {
    observations = observations.stream().map(replacement).toList();
  }

  /** Submits a command, which is executed after the round. */
  public void submit(Command command) {
    commands.add(Objects.requireNonNull(command, "command"));
  }

  void beginRound(List<Observation> batch) {
    round++;
    observations = List.copyOf(batch);
  }

  List<Command> drainCommands() {
    List<Command> drained = List.copyOf(commands);
    commands.clear();
    return drained;
  }

  Snapshot snapshot(MonotonicTime now) {
    return Snapshot.of(round, now, values);
  }
}
