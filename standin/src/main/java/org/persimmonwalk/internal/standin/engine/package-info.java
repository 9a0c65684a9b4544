/**
 * An in-memory imitation of a small replicated PostgreSQL group, without a network: SQL parser,
 * tables, transactions, row locks, replication log and terms. The protocol package submits
 * statements through {@link org.persimmonwalk.internal.standin.engine.StatementQueue}; everything
 * here runs on one thread, the engine thread.
 */
package org.persimmonwalk.internal.standin.engine;
