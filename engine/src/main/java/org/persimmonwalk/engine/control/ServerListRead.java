package org.persimmonwalk.engine.control;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.ServerEntry;

/** The answer to {@link ReadServerList}; empty if the store didn't answer. */
public record ServerListRead(Optional<List<ServerEntry>> entries) implements Observation {}
