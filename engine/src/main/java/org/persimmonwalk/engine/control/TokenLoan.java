package org.persimmonwalk.engine.control;

import java.time.Duration;
import org.persimmonwalk.id.WorkspaceId;

/**
 * The answer to a {@link TokenAsk}.
 *
 * @param tokens the tokens given in addition to those held
 * @param scarce whether the workspace asks for more than its limit
 * @param renews whether the tokens held before are valid as long as the new ones
 * @param validFor how long the tokens may be spent, counted from the time of the ask
 */
public record TokenLoan(
    WorkspaceId workspace, long tokens, boolean scarce, boolean renews, Duration validFor) {}
