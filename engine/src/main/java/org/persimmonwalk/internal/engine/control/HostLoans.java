package org.persimmonwalk.internal.engine.control;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

/** What a pool has lent to each host, and what these hosts need. */
final class HostLoans {
  private final Map<EntryHostId, HostLoan> loans = new TreeMap<>();

  /** Updates the loan of a host to what the host says, and returns it. */
  HostLoan update(EntryHostId host, TokenRequest request, MonotonicTime now) {
    HostLoan loan = loans.computeIfAbsent(host, unused -> new HostLoan());
    loan.update(request, now);
    return loan;
  }

  void clear() {
    loans.clear();
  }

  void dropExpired(MonotonicTime now) {
    loans.values().forEach(loan -> loan.dropInTransit(now));
    loans.values().removeIf(loan -> loan.hasExpired(now));
  }

  void startRecording() {
    loans.values().forEach(HostLoan::startRecording);
  }

  void confirmRecorded() {
    loans.values().forEach(HostLoan::confirmRecorded);
  }

  /** Returns the tokens lent, spent or not. */
  long held() {
    return loans.values().stream().mapToLong(HostLoan::held).sum();
  }

  /** Returns the tokens lent that hosts may still spend. */
  long spendable(MonotonicTime now) {
    return spendable(loans.values().stream(), now);
  }

  /** Returns the tokens lent to other hosts that they may still spend. */
  long spendableByOthers(EntryHostId self, MonotonicTime now) {
    return spendable(
        loans.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(self))
            .map(Map.Entry::getValue),
        now);
  }

  private static long spendable(Stream<HostLoan> loans, MonotonicTime now) {
    return loans
        .filter(loan -> now.since(loan.lastRequestAt()).compareTo(TokenPool.MAX_LOAN_DURATION) <= 0)
        .mapToLong(HostLoan::held)
        .sum();
  }

  /** Returns the number of hosts that have recently requested tokens. */
  int active(MonotonicTime now) {
    return (int) loans.values().stream().filter(loan -> loan.isActive(now)).count();
  }

  /** Returns the number of these that hold tokens in advance. */
  int holdingInAdvance(MonotonicTime now) {
    return (int)
        loans.values().stream().filter(loan -> loan.isActive(now) && loan.target() > 0).count();
  }

  /** Returns the operations per second of the hosts that have recently requested tokens. */
  double demand(MonotonicTime now) {
    return loans.values().stream()
        .filter(loan -> loan.isActive(now))
        .mapToDouble(HostLoan::demand)
        .sum();
  }

  /** Returns how many tokens these hosts want to hold. */
  long targets(MonotonicTime now) {
    return loans.values().stream()
        .filter(loan -> loan.isActive(now))
        .mapToLong(HostLoan::target)
        .sum();
  }
}
