/**
 * Assembles the control side of an entry host: the control loop, its controllers and the handlers
 * of their commands, and connects it to the network and to threads that wait for its state.
 */
package org.persimmonwalk.internal.assembly;
