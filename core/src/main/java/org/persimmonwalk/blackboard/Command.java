package org.persimmonwalk.blackboard;

/** An action that a controller submits and that is executed outside the control thread. */
public interface Command {}
