package org.persimmonwalk.routing;

/** Why a statement goes to a server. */
public enum RoutingReason {
  /** The statement writes. */
  WRITE,
  /** A replica in the host's own zone has replayed enough. */
  REPLICA_IN_ZONE,
  /** A replica in another zone has replayed enough. */
  REPLICA_IN_OTHER_ZONE,
  /** No replica has replayed enough. */
  REPLICAS_BEHIND,
  /** The router sends every statement to the primary. */
  PRIMARY_ONLY
}
