package org.persimmonwalk.internal.traffic.backend;

import java.util.Optional;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.wire.ErrorFields;
import org.persimmonwalk.wire.TransactionStatus;

/**
 * How an exchange ended.
 *
 * @param status the transaction status after the answer
 * @param position the primary's position after the answer, if the plan queries it and the server is
 *     a primary
 * @param guardError the error of a guard; the caller's statement has not run then
 */
public record ExchangeResult(
    TransactionStatus status, Optional<GroupPosition> position, Optional<ErrorFields> guardError) {}
