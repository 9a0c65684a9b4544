package org.persimmonwalk.standin;

/** How the stand-in platform fails. */
public enum PlatformOutage {
  /** The platform serves requests. */
  NONE,
  /** The platform answers each request with status 503. */
  REFUSED,
  /** The platform answers nothing, as behind a partition. */
  SILENT
}
