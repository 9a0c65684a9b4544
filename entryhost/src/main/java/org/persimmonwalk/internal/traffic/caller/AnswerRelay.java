package org.persimmonwalk.internal.traffic.caller;

import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.wire.ErrorFields;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.MessageType;

/**
 * Passes an answer to the caller. It holds the first frames back until a row or the end of a
 * statement, so that a statement that failed without effect can run elsewhere; and it holds the
 * answer to a write back from its first command tag, until the write is acknowledged.
 */
final class AnswerRelay {
  /** A write's rows after its first command tag wait in memory for the acknowledgement. */
  private static final int MAXIMUM_HELD_BYTES = 16 << 20;

  private final Channel caller;
  private final boolean holdsCompletion;
  private final Deque<Boolean> hiddenParses;
  private final List<Frame> held = new ArrayList<>();
  private Optional<ErrorFields> error = Optional.empty();
  private boolean started;
  private boolean completed;
  private int heldBytes;

  private AnswerRelay(Channel caller, boolean holdsCompletion, Deque<Boolean> hiddenParses) {
    this.caller = caller;
    this.holdsCompletion = holdsCompletion;
    this.hiddenParses = hiddenParses;
  }

  /**
   * Returns a relay for the answer to one batch.
   *
   * @param holdsCompletion whether the answer waits for an acknowledgement
   */
  static AnswerRelay of(Channel caller, StatementBatch batch, boolean holdsCompletion) {
    return new AnswerRelay(caller, holdsCompletion, new ArrayDeque<>(batch.hiddenParses()));
  }

  /** Takes a frame and its ownership. */
  void accept(Frame frame) {
    if (frame.is(MessageType.PARSE_COMPLETE) && Boolean.TRUE.equals(hiddenParses.poll())) {
      frame.release();
      return;
    }
    if (frame.is(MessageType.ERROR_RESPONSE)) {
      error = Optional.of(ErrorFields.parse(frame));
    }
    boolean ends =
        frame.is(MessageType.COMMAND_COMPLETE) || frame.is(MessageType.EMPTY_QUERY_RESPONSE);
    completed |= ends;
    if (completed && holdsCompletion) {
      hold(frame);
    } else if (started || ends || frame.is(MessageType.DATA_ROW)) {
      start();
      caller.write(frame);
    } else {
      hold(frame);
    }
  }

  /** Sends what was held back; the caller still has to flush. */
  void release() {
    start();
  }

  /** Passes on what was written so far. */
  void flush() {
    if (started) {
      caller.flush();
    }
  }

  /** Drops what was held back. */
  void discard() {
    held.forEach(ReferenceCountUtil::release);
    held.clear();
  }

  /** Returns whether the caller has been sent a part of the answer. */
  boolean hasStarted() {
    return started;
  }

  /** Returns whether a statement of the batch has completed. */
  boolean hasCompleted() {
    return completed;
  }

  /** Returns whether more is held back than may be. */
  boolean isOverLimit() {
    return heldBytes > MAXIMUM_HELD_BYTES;
  }

  /** Returns the error in the answer, if there is one. */
  Optional<ErrorFields> error() {
    return error;
  }

  private void hold(Frame frame) {
    held.add(frame);
    heldBytes += frame.wireSize();
  }

  private void start() {
    started = true;
    held.forEach(caller::write);
    held.clear();
  }
}
