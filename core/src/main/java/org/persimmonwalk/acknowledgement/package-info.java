/**
 * Decides when a committed write is acknowledged to its caller. Traffic threads register writes;
 * the control thread completes them when it publishes a snapshot.
 */
package org.persimmonwalk.acknowledgement;
