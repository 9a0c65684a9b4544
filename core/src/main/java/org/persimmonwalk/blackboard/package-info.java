/**
 * The blackboard, which holds the control state of a host, and the control loop and thread that run
 * the controllers on it. Other threads post observations, read snapshots and execute commands.
 */
package org.persimmonwalk.blackboard;
