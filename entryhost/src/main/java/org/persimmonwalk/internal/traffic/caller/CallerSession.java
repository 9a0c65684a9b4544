package org.persimmonwalk.internal.traffic.caller;

import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.ProtocolException;
import org.persimmonwalk.wire.TransactionStatus;

/**
 * Processes the messages of one caller after its login. Batches run one after the other; messages
 * that arrive meanwhile are queued. Used on the event loop of the caller only, except for {@link
 * #cancel} and {@link #drain}.
 */
final class CallerSession {
  /** With more queued bytes, the host stops reading from the caller until its batch has ended. */
  private static final int MAXIMUM_QUEUED_BYTES = 1 << 20;

  private final TrafficContext context;
  private final Channel channel;
  private final CallerState state;
  private final CallerWriter writer;
  private final BatchBuilder builder;
  private final Deque<Frame> queued = new ArrayDeque<>();
  private Optional<BatchExecution> execution = Optional.empty();
  private int queuedBytes;
  private boolean skipsToSync;
  private boolean draining;
  private boolean closed;

  private CallerSession(TrafficContext context, Channel channel, CallerState state) {
    this.context = context;
    this.channel = channel;
    this.state = state;
    this.writer = CallerWriter.of(channel);
    this.builder = BatchBuilder.of(channel.alloc(), PreparedStatements.create());
  }

  static CallerSession of(TrafficContext context, Channel channel, CallerState state) {
    return new CallerSession(context, channel, state);
  }

  /** Queues a message, takes ownership of it and processes what can run now. */
  void accept(Frame frame) {
    queued.add(frame);
    queuedBytes += frame.wireSize();
    if (execution.isPresent() && queuedBytes > MAXIMUM_QUEUED_BYTES) {
      channel.config().setAutoRead(false);
    }
    process();
  }

  /** Abandons the running batch and the transaction after the caller's connection has closed. */
  void close() {
    closed = true;
    queued.forEach(ReferenceCountUtil::release);
    queued.clear();
    builder.discard();
    execution.ifPresent(BatchExecution::abandon);
    state.transaction().ifPresent(open -> open.pool().release(open.connection(), false));
  }

  /** Asks the backend server to cancel the running statement. Any thread may call this. */
  void cancel() {
    channel.eventLoop().execute(() -> execution.ifPresent(BatchExecution::cancel));
  }

  /**
   * Closes the connection as soon as no batch or transaction is open and no message is queued. Any
   * thread may call this.
   */
  void drain() {
    channel
        .eventLoop()
        .execute(
            () -> {
              draining = true;
              closeIfDrained();
            });
  }

  /** Reads the answer from the backend server only while the caller's connection is writable. */
  void setWritable(boolean writable) {
    execution.ifPresent(running -> running.setReading(writable));
  }

  private void process() {
    while (execution.isEmpty() && !queued.isEmpty() && !closed) {
      Frame frame = queued.remove();
      queuedBytes -= frame.wireSize();
      processFrame(frame);
    }
    if (execution.isEmpty() && !closed) {
      channel.config().setAutoRead(true);
    }
  }

  private void processFrame(Frame frame) {
    if (frame.is(MessageType.TERMINATE)) {
      frame.release();
      channel.close();
    } else if (skipsToSync) {
      boolean sync = frame.is(MessageType.SYNC);
      frame.release();
      if (sync) {
        skipsToSync = false;
        writer.ready(state.status());
      }
    } else {
      addToBatch(frame);
    }
  }

  private void addToBatch(Frame frame) {
    boolean simple = frame.is(MessageType.QUERY);
    Optional<StatementBatch> batch;
    try {
      batch = builder.add(frame);
    } catch (PersimmonwalkException e) {
      rejectBatch(e.code(), e.getMessage(), simple);
      return;
    } catch (ProtocolException e) {
      rejectBatch(ResultCode.MALFORMED_MESSAGE, e.getMessage(), simple);
      return;
    }
    batch.ifPresent(this::run);
  }

  private void rejectBatch(ResultCode code, String detail, boolean simple) {
    builder.discard();
    writer.error(code, detail);
    if (simple) {
      writer.ready(state.status());
    } else {
      skipsToSync = true;
      channel.flush();
    }
  }

  private void run(StatementBatch batch) {
    if (state.hasLostTransaction()) {
      answerInLostTransaction(batch);
    } else if (batch.contains(StatementClass.UNSUPPORTED)) {
      refuse(batch, ResultCode.UNSUPPORTED, batch.statements().toString());
    } else if (batch.isSingle(StatementClass.SET_HOST_PARAMETER)) {
      setParameter(batch);
    } else if (isDiscardAll(batch)) {
      state.clearSettings();
      answerLocally(batch, "DISCARD ALL");
    } else {
      execute(batch);
    }
  }

  private void execute(StatementBatch batch) {
    BatchExecution next =
        BatchExecution.of(context, channel, state, batch, this::executionFinished);
    execution = Optional.of(next);
    next.start();
  }

  private void executionFinished() {
    execution = Optional.empty();
    if (state.status() == TransactionStatus.IDLE) {
      builder.clearPortals();
    }
    closeIfDrained();
    // Not called directly: if batches end at once, this method would recurse for each queued batch.
    channel.eventLoop().execute(this::process);
  }

  private void setParameter(StatementBatch batch) {
    try {
      state.parameters().apply(batch.statements().get(0), context.clock().now());
      answerLocally(batch, "SET");
    } catch (PersimmonwalkException e) {
      refuse(batch, e.code(), e.getMessage());
    }
  }

  private void answerInLostTransaction(StatementBatch batch) {
    if (batch.isSingle(StatementClass.END)) {
      state.setStatus(TransactionStatus.IDLE, Optional.empty());
      answerLocally(batch, "ROLLBACK");
      return;
    }
    writer.failedTransaction();
    writer.ready(state.status());
    batch.release();
  }

  private void answerLocally(StatementBatch batch, String tag) {
    writer.localAnswer(batch, tag, state.status());
    batch.release();
  }

  private void refuse(StatementBatch batch, ResultCode code, String detail) {
    writer.error(code, detail);
    writer.ready(state.status());
    batch.release();
  }

  private void closeIfDrained() {
    boolean idle = execution.isEmpty() && state.transaction().isEmpty() && queued.isEmpty();
    if (draining && idle && !closed) {
      writer.fatal(ResultCode.STOPPING, "");
    }
  }

  private static boolean isDiscardAll(StatementBatch batch) {
    return batch.statements().size() == 1
        && batch.statements().get(0).strip().toUpperCase(Locale.ROOT).startsWith("DISCARD ALL");
  }
}
