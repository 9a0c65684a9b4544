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
 * The messages that wait for a connection to one peer. When it is full the oldest heartbeat goes,
 * because a newer one follows within a second. Safe for use by several threads.
 */
public final class OutgoingBuffer {
  private final Deque<Entry> entries = new ArrayDeque<>();
  private final int limit;

  private OutgoingBuffer(int limit) {
    this.limit = limit;
  }

  /** Returns an empty buffer for the given number of messages. */
  public static OutgoingBuffer of(int limit) {
    return new OutgoingBuffer(limit);
  }

  /** A message that waits, and what becomes of it. */
  public record Entry(PeerMessage message, CompletableFuture<SendOutcome> outcome) {

    /** Says that the message will not be sent. */
    public void drop() {
      outcome.complete(SendOutcome.DROPPED);
    }
  }

  /** Adds a message; one message is dropped if the buffer is full. */
  public CompletableFuture<SendOutcome> add(PeerMessage message) {
    Entry added = new Entry(message, new CompletableFuture<>());
    makeRoom(added).ifPresent(Entry::drop);
    return added.outcome();
  }

  /** Removes and returns the oldest message. */
  public synchronized Optional<Entry> poll() {
    return Optional.ofNullable(entries.poll());
  }

  /** Returns whether no message waits. */
  public synchronized boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Drops all messages. */
  public void clear() {
    for (Optional<Entry> entry = poll(); entry.isPresent(); entry = poll()) {
      entry.get().drop();
    }
  }

  /** Adds the entry and returns the one that is dropped for it, which may be the entry itself. */
  private synchronized Optional<Entry> makeRoom(Entry added) {
    if (entries.size() < limit) {
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
