package org.persimmonwalk.internal.traffic.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.wire.ErrorFields;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.TransactionStatus;

/**
 * Processes the answer to one request on a backend connection. The answer has these parts in order:
 * the answers to the session settings, to the guards, to the statement, to the commit and to the
 * position query.
 */
final class BackendExchange {
  private enum Part {
    SETTINGS,
    GUARDS,
    STATEMENT,
    COMMIT,
    POSITION,
    DONE
  }

  private final ExchangeListener listener;
  private final Deque<Part> parts;
  private TransactionStatus status = TransactionStatus.IDLE;
  private Optional<GroupPosition> position = Optional.empty();
  private Optional<ErrorFields> guardError = Optional.empty();
  private boolean settingsFailed;

  private BackendExchange(ExchangeListener listener, Deque<Part> parts) {
    this.listener = listener;
    this.parts = parts;
  }

  /**
   * Returns an exchange that waits for its first answer.
   *
   * @param settingsAnswers how many answers to session settings come first
   */
  static BackendExchange of(ExchangeListener listener, int settingsAnswers, ExchangePlan plan) {
    Deque<Part> parts = new ArrayDeque<>();
    add(parts, Part.SETTINGS, settingsAnswers);
    add(parts, Part.GUARDS, plan.guards().size());
    add(parts, Part.STATEMENT, 1);
    add(parts, Part.COMMIT, plan.commits() ? 1 : 0);
    add(parts, Part.POSITION, plan.queriesPosition() ? 1 : 0);
    return new BackendExchange(listener, parts);
  }

  boolean isDone() {
    return parts.isEmpty();
  }

  /** Returns whether the session settings were refused; the connection must then be closed. */
  boolean settingsFailed() {
    return settingsFailed;
  }

  /** Processes the next frame of the answer and takes ownership of it. */
  void accept(Frame frame) {
    Part part = parts.isEmpty() ? Part.DONE : parts.peek();
    boolean ready = frame.is(MessageType.READY_FOR_QUERY);
    if (part == Part.STATEMENT && !ready && guardError.isEmpty()) {
      listener.onFrame(frame);
      return;
    }
    try {
      read(part, frame, ready);
    } finally {
      frame.release();
    }
    if (ready && part != Part.DONE) {
      parts.remove();
      if (parts.isEmpty()) {
        listener.onFinished(new ExchangeResult(status, position, guardError));
      }
    }
  }

  private void read(Part part, Frame frame, boolean ready) {
    if (ready && part != Part.POSITION) {
      status = TransactionStatus.parse(frame);
    } else if (frame.is(MessageType.ERROR_RESPONSE)) {
      settingsFailed |= part == Part.SETTINGS;
      if (part == Part.GUARDS && guardError.isEmpty()) {
        guardError = Optional.of(ErrorFields.parse(frame));
      }
    } else if (part == Part.POSITION && frame.is(MessageType.DATA_ROW)) {
      position = SampleRow.parse(frame).primaryPosition();
    }
  }

  void readComplete() {
    if (!parts.isEmpty()) {
      listener.onReadComplete();
    }
  }

  void lost(String reason) {
    if (!parts.isEmpty()) {
      parts.clear();
      listener.onLost(reason);
    }
  }

  private static void add(Deque<Part> parts, Part part, int count) {
    for (int i = 0; i < count; i++) {
      parts.add(part);
    }
  }
}
