package org.persimmonwalk.routing;

/** Why a statement was routed to a server. */
public enum RoutingReason {
  /** The statement writes. */
  WRITE,
  /** A replica in the host's own zone has data that is recent enough. */
  REPLICA_IN_ZONE,
  /** Only a replica in another zone has data that is recent enough. */
  REPLICA_IN_OTHER_ZONE,
  /** No replica has data that is recent enough, so that the primary runs a read. */
  REPLICAS_BEHIND,
  /** The router sends every statement to the primary. */
  PRIMARY_ONLY
}
