package org.persimmonwalk.blackboard;

/** An action outside the control thread that a controller asks for. */
public interface Command {}
