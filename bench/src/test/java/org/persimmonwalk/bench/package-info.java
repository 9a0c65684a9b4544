/**
 * Acceptance, golden and differential tests of sessions through the PostgreSQL JDBC driver, and
 * tests of malformed input and TLS.
 */
package org.persimmonwalk.bench;
