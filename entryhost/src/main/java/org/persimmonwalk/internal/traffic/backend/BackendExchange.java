package org.persimmonwalk.internal.traffic.backend;

import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.TransactionStatus;

/**
 * Follows the answer to one request on a backend connection through its parts: the answer to the
 * session settings, the answer to the statement, and the answer to the position query.
 */
final class BackendExchange {
  private enum Part {
    SETTINGS,
    STATEMENT,
    POSITION,
    DONE
  }

  private final ExchangeListener listener;
  private final boolean asksPosition;
  private Part part;
  private int settingsAnswers;
  private TransactionStatus status = TransactionStatus.IDLE;
  private Optional<GroupPosition> position = Optional.empty();
  private boolean settingsFailed;

  private BackendExchange(ExchangeListener listener, int settingsAnswers, boolean asksPosition) {
    this.listener = listener;
    this.asksPosition = asksPosition;
    this.settingsAnswers = settingsAnswers;
    this.part = settingsAnswers > 0 ? Part.SETTINGS : Part.STATEMENT;
  }

  /**
   * Returns an exchange that waits for its first answer.
   *
   * @param settingsAnswers how many answers to session settings come first
   * @param asksPosition whether the request ends with a position query
   */
  static BackendExchange of(ExchangeListener listener, int settingsAnswers, boolean asksPosition) {
    return new BackendExchange(listener, settingsAnswers, asksPosition);
  }

  boolean isDone() {
    return part == Part.DONE;
  }

  /** Returns whether the session settings were refused; the connection must then be closed. */
  boolean settingsFailed() {
    return settingsFailed;
  }

  /** Takes a frame and its ownership. */
  void accept(Frame frame) {
    switch (part) {
      case SETTINGS -> acceptSettings(frame);
      case STATEMENT -> acceptStatement(frame);
      case POSITION -> acceptPosition(frame);
      default -> ReferenceCountUtil.release(frame);
    }
  }

  void readComplete() {
    if (part != Part.DONE) {
      listener.onReadComplete();
    }
  }

  void lost(String reason) {
    if (part != Part.DONE) {
      part = Part.DONE;
      listener.onLost(reason);
    }
  }

  private void acceptSettings(Frame frame) {
    settingsFailed |= frame.is(MessageType.ERROR_RESPONSE);
    if (frame.is(MessageType.READY_FOR_QUERY)) {
      settingsAnswers--;
      part = settingsAnswers == 0 ? Part.STATEMENT : Part.SETTINGS;
    }
    frame.release();
  }

  private void acceptStatement(Frame frame) {
    if (!frame.is(MessageType.READY_FOR_QUERY)) {
      listener.onFrame(frame);
      return;
    }
    status = TransactionStatus.parse(frame);
    frame.release();
    if (asksPosition) {
      part = Part.POSITION;
    } else {
      finish();
    }
  }

  private void acceptPosition(Frame frame) {
    if (frame.is(MessageType.DATA_ROW)) {
      position = SampleRow.parse(frame).primaryPosition();
    }
    boolean ready = frame.is(MessageType.READY_FOR_QUERY);
    frame.release();
    if (ready) {
      finish();
    }
  }

  private void finish() {
    part = Part.DONE;
    listener.onFinished(status, position);
  }
}
