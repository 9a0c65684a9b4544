/**
 * Encoding and decoding of PostgreSQL v3 messages, used on the connections of callers, on those to
 * backend servers and by the stand-in servers.
 */
package org.persimmonwalk.wire;
