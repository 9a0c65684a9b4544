/**
 * The entry host: its process, the assembly of its parts, the traffic policies, and the listeners
 * that count what it does. The traffic listeners are called on traffic threads, the control metrics
 * on the control thread.
 */
package org.persimmonwalk.entryhost;
