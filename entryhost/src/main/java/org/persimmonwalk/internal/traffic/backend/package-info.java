/**
 * Connections to backend servers: pools and queues for the statements of callers, and monitor
 * connections for samples and administration. Requests and answers are handled on the Netty event
 * loop of each connection.
 */
package org.persimmonwalk.internal.traffic.backend;
