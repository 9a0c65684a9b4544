package org.persimmonwalk.engine.control;

import java.time.Duration;
import org.persimmonwalk.id.WorkspaceId;

/**
 * The answer to a {@link TokenRequest}.
 *
 * @param tokens the tokens lent in addition to those held
 * @param scarce whether the demand of the workspace exceeds its limit
 * @param renews whether the tokens held before become valid as long as the new ones
 * @param validFor how long the tokens may be spent, counted from the time of the request
 */
public record TokenLoan(
    WorkspaceId workspace, long tokens, boolean scarce, boolean renews, Duration validFor) {}
