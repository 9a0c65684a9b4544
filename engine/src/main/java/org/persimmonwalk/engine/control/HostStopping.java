package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;

/** This host has been asked to stop. */
public record HostStopping() implements Observation {}
