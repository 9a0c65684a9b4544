package org.persimmonwalk.observation;

import org.persimmonwalk.blackboard.Observation;

/** An operator or the operating system asks the host to stop. */
public record StopRequested() implements Observation {}
