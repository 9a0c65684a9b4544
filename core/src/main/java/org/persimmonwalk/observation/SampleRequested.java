package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.DatabaseGroupId;

/** A request or the acknowledgement of a write is waiting for newer samples of a group. */
public record SampleRequested(DatabaseGroupId group) implements Observation {

  /** Checks that the group is present. */
  public SampleRequested {
    Objects.requireNonNull(group, "group");
  }

  @Override
  public boolean isDroppable() {
    return true;
  }
}
