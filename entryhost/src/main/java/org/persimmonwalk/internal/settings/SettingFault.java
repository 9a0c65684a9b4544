package org.persimmonwalk.internal.settings;

import org.persimmonwalk.result.ResultCode;

/**
 * A fault in the settings file.
 *
 * @param code what kind of fault it is
 * @param path where the fault is, for example {@code caller.port}
 * @param detail the value found and what is allowed
 */
public record SettingFault(ResultCode code, String path, String detail) {

  /** Returns a fault at the given path. */
  public static SettingFault of(ResultCode code, String path, String detail) {
    return new SettingFault(code, path, detail);
  }

  @Override
  public String toString() {
    return code.label() + " " + path + ": " + detail;
  }
}
