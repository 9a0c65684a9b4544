/**
 * Requests and replies between the entry hosts of one zone and their relay, the host that calls the
 * store for the others.
 */
package org.persimmonwalk.peer.zone;
