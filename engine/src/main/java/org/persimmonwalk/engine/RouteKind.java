package org.persimmonwalk.engine;

/** The consistency that the statements of a route require. */
public enum RouteKind {
  /** Reads see every commit acknowledged before the statement, so only the primary serves them. */
  PRIMARY,
  /** Reads see every commit acknowledged longer ago than the route's maximum staleness. */
  BOUNDED_STALENESS,
  /** As bounded staleness, and reads also see every earlier commit of the same session. */
  READ_OWN_WRITES
}
