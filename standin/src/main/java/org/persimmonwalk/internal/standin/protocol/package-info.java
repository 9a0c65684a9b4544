/**
 * Serves the engine's servers to callers over the PostgreSQL v3 protocol: listening sockets,
 * connections, prepared statements and the injected connection faults. Connections run on event
 * loops and hand statements to the engine thread.
 */
package org.persimmonwalk.internal.standin.protocol;
