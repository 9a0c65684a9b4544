package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;

/**
 * The host has resumed after a suspension, as a thread noticed that compared the clocks. It only
 * starts a round at once: in each round the control thread compares the clocks itself.
 */
public record HostResumed() implements Observation {}
