package org.persimmonwalk.internal.operator.note;

import java.util.List;
import java.util.stream.Collectors;
import org.persimmonwalk.release.NoteFault;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Formats the validation faults of a release note as the message of a single exception. */
public final class FaultMessages {
  /** Bounds the message: a malicious release note can have as many faults as bytes. */
  private static final int LISTED_FAULTS = 100;

  private FaultMessages() {}

  /**
   * Returns an exception whose message lists the faults, at most 100, one per line. Each is
   * prefixed with the label of the code, such as {@code PW-6001}.
   */
  public static PersimmonwalkException exception(ResultCode code, List<NoteFault> faults) {
    String list =
        faults.stream()
            .limit(LISTED_FAULTS)
            .map(fault -> "\n  " + code.label() + " " + printable(fault.toString()))
            .collect(Collectors.joining());
    String more =
        faults.size() > LISTED_FAULTS ? "\n  and " + (faults.size() - LISTED_FAULTS) + " more" : "";
    return PersimmonwalkException.of(
        code, code.summary() + ", " + faults.size() + " fault(s):" + list + more);
  }

  /** Replaces control characters, since names in a malicious note may hold escape sequences. */
  private static String printable(String text) {
    return text.replaceAll("\\p{Cntrl}", "?");
  }
}
