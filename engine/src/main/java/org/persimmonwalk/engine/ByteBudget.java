package org.persimmonwalk.engine;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the bytes that a host keeps for others: incomplete lines, statements that have no answer
 * yet, answers that are not written yet, variables, prepared statements, and answers of the store.
 * When it is spent, the connection whose end frees most is closed. Used on the traffic thread.
 */
public final class ByteBudget {
  /**
   * Most messages are under 1 KB; a connection with less than this is not shed for a larger one.
   */
  private static final long SMALL_BYTES = 32 * 1024;

  /** A quarter is kept for connections that hold little. */
  private static final long LARGE_PERCENT = 75;

  /**
   * The part that control work may take when nothing can be closed for it, because statements run:
   * a host whose calls fail as long as callers send would stop serving all of them.
   */
  private static final long CONTROL_PERCENT = 25;

  private static final long PERCENT = 100;

  private final long limit;
  private final Set<Account> accounts = new LinkedHashSet<>();
  private long used;
  private long controlBytes;

  private ByteBudget(long limit) {
    this.limit = limit;
  }

  /** Returns a budget of which nothing is used. */
  public static ByteBudget of(long limit) {
    return new ByteBudget(limit);
  }

  /** The connection that an account belongs to. */
  public interface Owner {

    /** Closes the connection at once, because the budget is spent. */
    void shed(long bytes);
  }

  /** Opens the account of a connection, which must be closed with the connection. */
  public Account open(Owner owner) {
    Account account = new Account(owner);
    accounts.add(account);
    return account;
  }

  /**
   * Opens the account of a call of the control work, which must be closed with the call.
   * Connections are closed for it, and it is never closed for them.
   */
  public ControlAccount openForControl() {
    return new ControlAccount();
  }

  public long limit() {
    return limit;
  }

  /** Returns the bytes in use, those of closed connections included. */
  public long used() {
    return used;
  }

  private void shedFor(Account account) {
    long allowed = account.bytes > SMALL_BYTES ? limit * LARGE_PERCENT / PERCENT : limit;
    while (used > allowed && !account.closed) {
      shedLargest(account);
    }
  }

  /** Closes the connection that frees most, the given one if no other frees more. */
  private void shedLargest(Account first) {
    Account largest = first;
    for (Account other : accounts) {
      if (other.releasable() > largest.releasable()) {
        largest = other;
      }
    }
    long freed = largest.releasable();
    largest.close();
    largest.owner.shed(freed);
  }

  private long releasable() {
    return accounts.stream().mapToLong(Account::releasable).sum();
  }

  /** The bytes of one call of the control work. */
  public final class ControlAccount {
    private long bytes;
    private boolean closed;

    private ControlAccount() {}

    /**
     * Adds bytes, for which connections are closed if the budget is spent.
     *
     * @return false if there is no room even then; no connection is closed and nothing is added
     */
    public boolean add(long added) {
      boolean reserved = controlBytes + added <= limit * CONTROL_PERCENT / PERCENT;
      if (used + added > limit && !reserved && used + added - releasable() > limit) {
        return false;
      }
      bytes += added;
      used += added;
      controlBytes += added;
      while (used > limit && releasable() > 0) {
        shedLargest(accounts.iterator().next());
      }
      return true;
    }

    /** Removes bytes that were added. */
    public void remove(long removed) {
      bytes -= removed;
      used -= removed;
      controlBytes -= removed;
    }

    /** Removes all bytes; none may be added later. */
    public void close() {
      remove(bytes);
      closed = true;
    }

    public boolean isClosed() {
      return closed;
    }
  }

  /** The bytes of one connection. */
  public final class Account {
    private final Owner owner;
    private long bytes;
    private long pinned;
    private boolean closed;

    private Account(Owner owner) {
      this.owner = owner;
    }

    /**
     * Adds bytes, for which connections are closed if the budget is spent, this one included.
     *
     * @return false if this connection is closed, and the bytes are not to be kept
     */
    public boolean add(long added) {
      if (closed) {
        return false;
      }
      bytes += added;
      used += added;
      if (used > limit * LARGE_PERCENT / PERCENT) {
        shedFor(this);
      }
      return !closed;
    }

    /** Removes bytes that were added; those of a closed account are removed already. */
    public void remove(long removed) {
      if (!closed) {
        bytes -= removed;
        used -= removed;
      }
    }

    /** Sets how many of the bytes belong to a running statement and outlast the connection. */
    public void pin(long count) {
      if (!closed) {
        pinned = count;
      }
    }

    /** Returns how many bytes outlast the connection until {@link #unpin} is called. */
    public long pinned() {
      return pinned;
    }

    /** Ends the account; only the pinned bytes stay in use. */
    public void close() {
      if (!closed) {
        closed = true;
        used -= releasable();
        bytes = pinned;
        accounts.remove(this);
      }
    }

    /** Removes the pinned bytes of a closed account. */
    public void unpin() {
      if (closed) {
        used -= pinned;
        bytes = 0;
        pinned = 0;
      }
    }

    public boolean isClosed() {
      return closed;
    }

    private long releasable() {
      return bytes - pinned;
    }
  }
}
