package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;

/** The host was asked to stop. */
public record HostStopping() implements Observation {}
