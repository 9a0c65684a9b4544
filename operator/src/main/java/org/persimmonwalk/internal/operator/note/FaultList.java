package org.persimmonwalk.internal.operator.note;

import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.release.NoteFault;

/** Collects the validation faults found while a release note is read. */
final class FaultList {
  private final List<NoteFault> faults = new ArrayList<>();

  private FaultList() {}

  static FaultList create() {
    return new FaultList();
  }

  void add(String path, String message) {
    faults.add(NoteFault.of(path, message));
  }

  List<NoteFault> all() {
    return List.copyOf(faults);
  }

  boolean isEmpty() {
    return faults.isEmpty();
  }
}
