package org.persimmonwalk.internal.traffic.caller;

import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.persimmonwalk.wire.Frame;

/**
 * Messages of a caller that are sent and answered as one unit: a simple query, or extended-protocol
 * messages up to a sync.
 *
 * @param frames the messages to send to a backend server
 * @param hiddenParses for each parse message in order, whether its answer is hidden from the caller
 * @param statements the statements that the batch executes, in order
 * @param simple whether the batch is a simple query
 * @param describes whether the batch describes a statement or portal
 */
record StatementBatch(
    List<Frame> frames,
    List<Boolean> hiddenParses,
    List<String> statements,
    boolean simple,
    boolean describes) {

  /** Copies the lists. */
  StatementBatch {
    frames = List.copyOf(frames);
    hiddenParses = List.copyOf(hiddenParses);
    statements = List.copyOf(statements);
  }

  /** Returns whether any statement has the given class. */
  boolean contains(StatementClass wanted) {
    return statements.stream().map(StatementClassifier::classify).anyMatch(wanted::equals);
  }

  /** Returns whether every statement only reads. */
  boolean onlyReads() {
    return statements.stream().map(StatementClassifier::classify).allMatch(StatementBatch::reads);
  }

  /** Returns whether the batch is one statement of the given class. */
  boolean isSingle(StatementClass wanted) {
    return statements.size() == 1 && contains(wanted);
  }

  /**
   * Retains and returns the messages for one attempt; the batch keeps its references for a retry.
   */
  List<Frame> retainedFrames() {
    frames.forEach(Frame::retain);
    return frames;
  }

  /** Releases the batch's own references. */
  void release() {
    frames.forEach(ReferenceCountUtil::release);
  }

  private static boolean reads(StatementClass statement) {
    return statement == StatementClass.READ
        || statement == StatementClass.BEGIN_READ_ONLY
        || statement == StatementClass.SET;
  }
}
