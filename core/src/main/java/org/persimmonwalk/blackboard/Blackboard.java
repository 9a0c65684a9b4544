package org.persimmonwalk.blackboard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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

  /** The entries as last published; absent once one of them has been put since. */
  private Optional<Map<EntryKey<?>, Object>> published = Optional.empty();

  private ChangeListener changeListener = (entry, old, value) -> {};

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
    Object old = values.put(key, Objects.requireNonNull(value, "value"));
    if (old != value) {
      published = Optional.empty();
      changeListener.changed(key, old == null ? key.initialValue() : old, value);
    }
  }

  /** Returns all observations of this round, in the order in which they were queued. */
  public List<Observation> observations() {
    return observations;
  }

  /** Returns whether this round has observations of any type. */
  public boolean hasObservations() {
    return !observations.isEmpty();
  }

  /**
   * Returns this round's observations of the given type, in the order in which they were queued.
   */
  public <T extends Observation> Stream<T> observations(Class<T> type) {
    // Most rounds have no observation of a given type. Setting up a stream for each took most of
    // the
    // time of such rounds. The others copy the few that match, so that the stream needs no stages.
    List<T> matching = List.of();
    for (Observation observation : observations) {
      if (type.isInstance(observation)) {
        matching = matching.isEmpty() ? new ArrayList<>() : matching;
        matching.add(type.cast(observation));
      }
    }
    return matching.stream();
  }

  /**
   * Replaces each of this round's observations by the result of the function. For a controller that
   * runs first and decides in one place which observations still count.
   */
  public void replaceObservations(UnaryOperator<Observation> replacement) {
    List<Observation> replaced = new ArrayList<>(observations.size());
    for (Observation observation : observations) {
      replaced.add(replacement.apply(observation));
    }
    observations = List.copyOf(replaced);
  }

  /** Submits a command, which is executed after the round. */
  public void submit(Command command) {
    commands.add(Objects.requireNonNull(command, "command"));
  }

  /** Sets the listener that is called when another value of an entry is put. */
  void whenChanged(ChangeListener listener) {
    changeListener = listener;
  }

  /** Returns the commands submitted so far in this round. */
  List<Command> commands() {
    return commands;
  }

  /** Returns whether the newest snapshot has the present values of all entries. */
  boolean isPublished() {
    return published.isPresent();
  }

  void beginRound(List<Observation> batch) {
    round++;
    observations = List.copyOf(batch);
  }

  List<Command> drainCommands() {
    if (commands.isEmpty()) {
      return List.of();
    }
    List<Command> drained = List.copyOf(commands);
    commands.clear();
    return drained;
  }

  Snapshot snapshot(MonotonicTime now) {
    if (published.isEmpty()) {
      published = Optional.of(Map.copyOf(values));
    }
    return Snapshot.of(round, now, published.get());
  }

  /** Called on the control thread when another value of an entry is put. */
  interface ChangeListener {
    void changed(EntryKey<?> entry, Object old, Object value);
  }
}
