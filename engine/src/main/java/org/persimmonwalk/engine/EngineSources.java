package org.persimmonwalk.engine;

import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;

/** The sources of time and randomness of an engine; tests replace them. */
public record EngineSources(
    MonotonicClock clock, RandomSource random, SuspensionDetector suspension) {}
