package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.ServerEntry;

/** This host has tried to reach a server for some time and heard nothing from it. */
public record ServerSilent(ServerEntry server) implements Observation {
  @Override
  public boolean droppable() {
    return true;
  }
}
