package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.ServerEntry;

/** A server has not answered this host for some time, although this host has tried to reach it. */
public record ServerUnreachable(ServerEntry server) implements Observation {
  @Override
  public boolean droppable() {
    return true;
  }
}
