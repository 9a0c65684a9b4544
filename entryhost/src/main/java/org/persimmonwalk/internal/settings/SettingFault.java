package org.persimmonwalk.internal.settings;

import org.persimmonwalk.result.ResultCode;

/**
 * A fault in the settings file, reported to the operator.
 *
 * @param code the kind of fault
 * @param path the setting or section with the fault, for example {@code caller.listen}
 * @param detail the value found, if any, and what is allowed
 */
public record SettingFault(ResultCode code, String path, String detail) {

  /** Returns a fault of the setting or section at the given path. */
  public static SettingFault of(ResultCode code, String path, String detail) {
    return new SettingFault(code, path, detail);
  }

  @Override
  public String toString() {
    return code.label() + " " + path + ": " + detail;
  }
}
