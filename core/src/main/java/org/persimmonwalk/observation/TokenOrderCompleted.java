package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.WorkspaceId;

/** The admission policy has executed a token order and withdrawn the given number of tokens. */
public record TokenOrderCompleted(WorkspaceId workspace, long number, double withdrawn)
    implements Observation {

  /** Checks that all parts are present. */
  public TokenOrderCompleted {
    Objects.requireNonNull(workspace, "workspace");
  }
}
