package org.persimmonwalk.engine.control;

import java.time.Duration;
import org.persimmonwalk.id.BackendServerId;

/**
 * Tells another host that a server may have restarted, as connections to it were lost. It holds an
 * age instead of a time, as the clocks of two hosts can't be compared.
 *
 * @param startedAtMillis the start of the process to which connections were lost, as in its entry
 * @param age the time since the loss
 */
public record RestartNotice(BackendServerId server, long startedAtMillis, Duration age) {}
