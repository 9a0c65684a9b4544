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
 * Forwards the answer of a backend server to the caller. The first frames are buffered until a row
 * or the end of a statement arrives, so that a statement that failed without effect can be routed
 * again. The answer to a write is buffered from its first command tag until the write is
 * acknowledged.
 */
final class AnswerRelay {
  /** Limits the memory for the answer to a write that waits for its acknowledgement. */
  private static final int MAXIMUM_BUFFERED_BYTES = 16 << 20;

  private final Channel caller;
  private final boolean awaitsAcknowledgement;
  private final Deque<Boolean> hiddenParses;
  private final List<Frame> buffered = new ArrayList<>();
  private Optional<ErrorFields> error = Optional.empty();
  private boolean started;
  private boolean completed;
  private int bufferedBytes;

  private AnswerRelay(Channel caller, boolean awaitsAcknowledgement, Deque<Boolean> hiddenParses) {
    this.caller = caller;
    this.awaitsAcknowledgement = awaitsAcknowledgement;
    this.hiddenParses = hiddenParses;
  }

  /**
   * Returns a relay for the answer to one attempt at a batch.
   *
   * @param awaitsAcknowledgement whether the answer must wait for the acknowledgement of a write
   */
  static AnswerRelay of(Channel caller, StatementBatch batch, boolean awaitsAcknowledgement) {
    return new AnswerRelay(caller, awaitsAcknowledgement, new ArrayDeque<>(batch.hiddenParses()));
  }

  /** Forwards, buffers or drops the next frame of the answer and takes ownership of it. */
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
    if (completed && awaitsAcknowledgement) {
      buffer(frame);
    } else if (started || ends || frame.is(MessageType.DATA_ROW)) {
      start();
      caller.write(frame);
    } else {
      buffer(frame);
    }
  }

  /** Writes the buffered frames without a flush. */
  void writeBuffered() {
    start();
  }

  /** Flushes the frames written so far. */
  void flush() {
    if (started) {
      caller.flush();
    }
  }

  /** Drops the buffered frames. */
  void discard() {
    buffered.forEach(ReferenceCountUtil::release);
    buffered.clear();
  }

  /** Returns whether a part of the answer was written to the caller. */
  boolean hasStarted() {
    return started;
  }

  /** Returns whether a statement of the batch has completed. */
  boolean hasCompleted() {
    return completed;
  }

  /** Returns whether the buffered frames exceed the memory limit. */
  boolean isOverLimit() {
    return bufferedBytes > MAXIMUM_BUFFERED_BYTES;
  }

  /** Returns the error in the answer, if there is one. */
  Optional<ErrorFields> error() {
    return error;
  }

  private void buffer(Frame frame) {
    buffered.add(frame);
    bufferedBytes += frame.wireSize();
  }

  private void start() {
    started = true;
    buffered.forEach(caller::write);
    buffered.clear();
  }
}
