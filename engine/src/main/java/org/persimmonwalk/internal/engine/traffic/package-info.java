/**
 * The traffic side of the engine: caller sessions, rate limiting, the choice of a server for each
 * statement, and connection pools. Front ends call {@link
 * org.persimmonwalk.internal.engine.traffic.Sessions}. All code here runs on the traffic thread; it
 * reads control state from snapshots and reports to the control thread by posting observations.
 */
package org.persimmonwalk.internal.engine.traffic;
