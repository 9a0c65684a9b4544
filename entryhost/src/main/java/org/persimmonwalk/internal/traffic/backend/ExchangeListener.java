package org.persimmonwalk.internal.traffic.backend;

import org.persimmonwalk.wire.Frame;

/**
 * Receives the answer to one exchange. All methods are called on the event loop of the backend
 * connection, and exactly one of {@link #onFinished} and {@link #onLost} ends the exchange.
 */
public interface ExchangeListener {

  /** Receives a frame of the answer and takes ownership; ready-for-query is not passed on. */
  void onFrame(Frame frame);

  /** All frames that arrived together have been passed; buffered output should be flushed now. */
  void onReadComplete();

  /** The answer is complete. */
  void onFinished(ExchangeResult result);

  /** The connection was lost before the answer was complete. */
  void onLost(String reason);
}
