package org.persimmonwalk.standin;

/** How the stand-in platform treats requests during an outage. */
public enum PlatformOutage {
  /** No outage: the platform serves requests. */
  NONE,
  /** The platform answers each request with status 503. */
  REFUSED,
  /** The platform neither answers nor closes connections, as during a network partition. */
  SILENT
}
