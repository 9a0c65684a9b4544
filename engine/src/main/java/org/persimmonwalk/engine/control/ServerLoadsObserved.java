package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;

/** What this host has seen of the servers that it used since the last such observation. */
public record ServerLoadsObserved(ServerLoads loads) implements Observation {
  @Override
  public boolean isDroppable() {
    return true;
  }
}
