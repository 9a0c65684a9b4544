/** Connections between entry hosts: framing, outgoing buffers and reconnection. */
package org.persimmonwalk.internal.peer;
