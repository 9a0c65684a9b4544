package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A connection to a server ended or could not be opened, so the server may have restarted.
 *
 * @param at when this host noticed
 * @param suggestsRestart whether the loss is a reason to tell other hosts of it
 */
public record ServerConnectionLost(ServerEntry server, MonotonicTime at, boolean suggestsRestart)
    implements Observation {}
