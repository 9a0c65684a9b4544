package org.persimmonwalk.internal.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.port.PeerMessenger.SendOutcome;

/**
 * A bounded queue of the messages that are not yet written to the connection of one peer. When it
 * is full, adding a message drops the oldest heartbeat, because a newer one follows within a
 * second; if it holds no heartbeat, the new message is dropped. Safe for use by several threads.
 */
public final class OutgoingBuffer {
  private final Deque<Entry> entries = new ArrayDeque<>();
  private final int capacity;

  private OutgoingBuffer(int capacity) {
    this.capacity = capacity;
  }

  /** Returns an empty buffer that holds up to the given number of messages. */
  public static OutgoingBuffer of(int capacity) {
    return new OutgoingBuffer(capacity);
  }

  /** A queued message and its outcome, which is completed when it is sent or dropped. */
  public record Entry(PeerMessage message, CompletableFuture<SendOutcome> outcome) {

    /** Completes the outcome as dropped. */
    public void drop() {
      outcome.complete(SendOutcome.DROPPED);
    }
  }

  /** Adds a message; one message is dropped if the buffer is full. */
  public CompletableFuture<SendOutcome> add(PeerMessage message) {
    Entry added = new Entry(message, new CompletableFuture<>());
    addAndEvict(added).ifPresent(Entry::drop);
    return added.outcome();
  }

  /** Removes and returns the oldest message. */
  public synchronized Optional<Entry> poll() {
    return Optional.ofNullable(entries.poll());
  }

  /** Returns whether the buffer holds no message. */
  public synchronized boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Drops all messages. */
  public void clear() {
    for (Optional<Entry> entry = poll(); entry.isPresent(); entry = poll()) {
      entry.get().drop();
    }
  }

  /**
   * Adds an entry if there is room or a heartbeat to evict. Returns the entry that the buffer does
   * not keep: the evicted heartbeat, or the given entry if it was not added.
   */
  private synchronized Optional<Entry> addAndEvict(Entry added) {
    if (entries.size() < capacity) {
      entries.add(added);
      return Optional.empty();
    }
    for (Iterator<Entry> iterator = entries.iterator(); iterator.hasNext(); ) {
      Entry entry = iterator.next();
      if (entry.message() instanceof Heartbeat) {
        iterator.remove();
        entries.add(added);
        return Optional.of(entry);
      }
    }
    return Optional.of(added);
  }
}
