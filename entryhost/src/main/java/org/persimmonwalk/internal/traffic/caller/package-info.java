/**
 * The front end for the PostgreSQL v3 protocol: accepts connections of callers and executes their
 * statements on backend servers. Each connection is handled on its Netty event loop.
 */
package org.persimmonwalk.internal.traffic.caller;
