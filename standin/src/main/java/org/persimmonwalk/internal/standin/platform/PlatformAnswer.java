package org.persimmonwalk.internal.standin.platform;

import java.util.List;
import org.persimmonwalk.model.HostEntry;

/** An answer of the platform, independent of HTTP and JSON. */
public sealed interface PlatformAnswer {

  /** The row that was read. */
  record Row(long version, String content) implements PlatformAnswer {}

  /** The row was written and has the given version now. */
  record Written(long version) implements PlatformAnswer {}

  /** The row was not written, since its version, given here, is not the expected one. */
  record Conflict(long version) implements PlatformAnswer {}

  /** The object that was read. */
  record StoredObject(byte[] content) implements PlatformAnswer {}

  /** The host list as of the configured lag ago. */
  record Hosts(List<HostEntry> hosts) implements PlatformAnswer {}

  /** An object was written, or a host was added, replaced or removed. */
  record Done() implements PlatformAnswer {}

  /** The row or the object does not exist. */
  record Absent() implements PlatformAnswer {}
}
