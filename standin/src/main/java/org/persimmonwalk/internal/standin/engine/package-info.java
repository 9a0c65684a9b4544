/** The engine of a stand-in database group: tables, transactions, log, replication and terms. */
package org.persimmonwalk.internal.standin.engine;
