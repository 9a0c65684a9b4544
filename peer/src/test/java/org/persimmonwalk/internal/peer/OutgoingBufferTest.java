package org.persimmonwalk.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.peer.PeerMessages;
import org.persimmonwalk.port.PeerMessenger.SendOutcome;

class OutgoingBufferTest {
  private final OutgoingBuffer buffer = OutgoingBuffer.of(3);

  /** Guards against an unbounded buffer, and against dropping requests to keep heartbeats. */
  @Test
  void shouldDropOldestHeartbeatWhenFull() {
    buffer.add(PeerMessages.request(1));
    CompletableFuture<SendOutcome> oldest = buffer.add(PeerMessages.smallHeartbeat(2));
    buffer.add(PeerMessages.smallHeartbeat(3));
    buffer.add(PeerMessages.smallHeartbeat(4));

    assertThat(oldest).isCompletedWithValue(SendOutcome.DROPPED);
    assertThat(drain())
        .containsExactly(
            PeerMessages.request(1),
            PeerMessages.smallHeartbeat(3),
            PeerMessages.smallHeartbeat(4));
  }

  /** Guards against an unbounded buffer when it holds no heartbeat to drop. */
  @Test
  void shouldDropNewMessageWhenFullOfOtherMessages() {
    buffer.add(PeerMessages.request(1));
    buffer.add(PeerMessages.request(2));
    buffer.add(PeerMessages.request(3));

    assertThat(buffer.add(PeerMessages.request(4))).isCompletedWithValue(SendOutcome.DROPPED);
    assertThat(buffer.add(PeerMessages.smallHeartbeat(5)))
        .isCompletedWithValue(SendOutcome.DROPPED);
    assertThat(drain()).hasSize(3);
  }

  /** Guards against outcomes that never complete after the connection is closed. */
  @Test
  void shouldCompleteOutcomesWhenCleared() {
    CompletableFuture<SendOutcome> waiting = buffer.add(PeerMessages.request(1));
    assertThat(waiting).isNotDone();

    buffer.clear();
    assertThat(waiting).isCompletedWithValue(SendOutcome.DROPPED);
    assertThat(buffer.isEmpty()).isTrue();
  }

  private List<PeerMessage> drain() {
    List<PeerMessage> messages = new ArrayList<>();
    for (Optional<OutgoingBuffer.Entry> entry = buffer.poll();
        entry.isPresent();
        entry = buffer.poll()) {
      messages.add(entry.get().message());
    }
    return messages;
  }
}
