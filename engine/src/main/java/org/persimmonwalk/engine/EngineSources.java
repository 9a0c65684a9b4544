package org.persimmonwalk.engine;

import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;

/** The sources of time and randomness of an engine; tests pass controlled ones. */
public record EngineSources(
    MonotonicClock clock, RandomSource random, SuspensionDetector suspension) {}
