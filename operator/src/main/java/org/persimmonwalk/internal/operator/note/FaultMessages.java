package org.persimmonwalk.internal.operator.note;

import java.util.List;
import java.util.stream.Collectors;
import org.persimmonwalk.release.NoteFault;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Turns the faults of a release note into one failure. */
public final class FaultMessages {
  /** A hostile note could otherwise have as many faults as bytes. */
  private static final int LISTED_FAULTS = 100;

  private FaultMessages() {}

  /** Returns a failure that lists the faults, at most 100, each with the label of the code. */
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

  /** Replaces control characters, which names in a hostile release note may contain. */
  private static String printable(String text) {
    return text.replaceAll("\\p{Cntrl}", "?");
  }
}
