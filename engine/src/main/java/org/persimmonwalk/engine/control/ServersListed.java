package org.persimmonwalk.engine.control;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.ServerEntry;

/** The entries of all backend servers; empty if the store did not answer. */
public record ServersListed(Optional<List<ServerEntry>> entries) implements Observation {}
