/** Connections of callers, in the PostgreSQL v3 protocol. */
package org.persimmonwalk.internal.traffic.caller;
