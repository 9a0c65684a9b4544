package org.persimmonwalk.admission;

/** How soon a statement has to run, as its caller states it; the most urgent comes first. */
public enum Urgency {
  /** Short statements that somebody waits for, such as a booking or a filing. */
  URGENT,
  /** Statements without a stated urgency. */
  NORMAL,
  /** Heavy statements that can wait. */
  BULK
}
