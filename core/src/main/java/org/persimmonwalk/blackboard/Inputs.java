package org.persimmonwalk.blackboard;

import java.util.ArrayList;
import java.util.List;

/**
 * What a controller reads. The control loop runs it in a round that has such an observation, or
 * after such an entry was put, by any controller including itself.
 *
 * @param areOutside whether the controller reads something outside the blackboard that reports no
 *     change, such as a clock; it then runs in each round, whatever starts the round
 * @param observations the types of the observations
 * @param entries the keys of the entries whose change alone may let the controller act; entries
 *     that it only looks up when it acts for another reason need not be named
 */
public record Inputs(
    boolean areOutside,
    List<Class<? extends Observation>> observations,
    List<EntryKey<?>> entries) {
  /** Copies both lists. */
  public Inputs {
    observations = List.copyOf(observations);
    entries = List.copyOf(entries);
  }

  /** Returns the inputs of a controller that reads something outside the blackboard. */
  public static Inputs outside() {
    return new Inputs(true, List.of(), List.of());
  }

  /** Returns the inputs of a controller that reads entries only. */
  public static Inputs ofEntries(EntryKey<?>... entries) {
    return new Inputs(false, List.of(), List.of(entries));
  }

  /** Returns the inputs of a controller that reads observations only. */
  @SafeVarargs
  public static Inputs ofObservations(Class<? extends Observation>... observations) {
    List<Class<? extends Observation>> types = new ArrayList<>();
    for (Class<? extends Observation> type : observations) {
      types.add(type);
    }
    return new Inputs(false, types, List.of());
  }

  /** Returns the inputs of a controller that reads these observations and also entries. */
  public Inputs andEntries(EntryKey<?>... read) {
    return new Inputs(areOutside, observations, List.of(read));
  }

  boolean includes(Observation observation) {
    for (Class<? extends Observation> type : observations) {
      if (type.isInstance(observation)) {
        return true;
      }
    }
    return false;
  }
}
