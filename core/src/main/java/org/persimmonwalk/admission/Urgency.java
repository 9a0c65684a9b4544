package org.persimmonwalk.admission;

/** How soon a statement has to run, as stated by its caller. Sorted from most to least urgent. */
public enum Urgency {
  /** Short statements that a person is waiting for, such as a booking or a filing. */
  URGENT,
  /** The default for statements without a stated urgency. */
  NORMAL,
  /** Heavy statements that can wait. */
  BULK
}
