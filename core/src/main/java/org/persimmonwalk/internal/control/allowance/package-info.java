/**
 * Divides the connections that each backend server accepts between the entry hosts. The control
 * loop runs the controller, which publishes how many connections this host may have open to each
 * server.
 */
package org.persimmonwalk.internal.control.allowance;
