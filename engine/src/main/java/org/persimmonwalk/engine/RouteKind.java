package org.persimmonwalk.engine;

/** How recent the data must be that statements of a route see. */
public enum RouteKind {
  /** Everything acknowledged before the statement, so only the primary serves it. */
  PRIMARY,
  /** Everything acknowledged earlier than the route's maximum staleness. */
  BOUNDED_STALENESS,
  /** As bounded staleness, and every commit of the session itself. */
  READ_OWN_WRITES
}
