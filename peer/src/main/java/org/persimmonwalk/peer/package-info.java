/**
 * The protocol by which entry hosts exchange heartbeats, configurations and shares of limits:
 * client, server, message codec and TLS.
 */
package org.persimmonwalk.peer;
