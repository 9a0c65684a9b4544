package org.persimmonwalk.internal.traffic.backend;

import org.persimmonwalk.wire.Frame;

/**
 * Is told of the answer to one exchange. All calls come on the event loop of the backend
 * connection, and exactly one of {@link #onFinished} and {@link #onLost} ends the exchange.
 */
public interface ExchangeListener {

  /** Takes a frame of the answer and its ownership; never the ready-for-query frame. */
  void onFrame(Frame frame);

  /** All frames that have arrived together were given; now is the time to pass them on. */
  void onReadComplete();

  /** The answer is complete. */
  void onFinished(ExchangeResult result);

  /** The connection was lost before the answer was complete. */
  void onLost(String reason);
}
