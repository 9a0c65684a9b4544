package org.persimmonwalk.internal.standin.platform;

import java.util.List;
import org.persimmonwalk.model.HostEntry;

/** What the platform answers, free of its encoding. */
public sealed interface PlatformAnswer {

  /** The row exists. */
  record Row(long version, String content) implements PlatformAnswer {}

  /** The row has the new content. */
  record Written(long version) implements PlatformAnswer {}

  /** The row has another version than expected. */
  record Conflict(long version) implements PlatformAnswer {}

  /** The object exists. */
  record StoredObject(byte[] content) implements PlatformAnswer {}

  /** The hosts as the lagging list shows them. */
  record Hosts(List<HostEntry> hosts) implements PlatformAnswer {}

  /** The object or the host was written. */
  record Done() implements PlatformAnswer {}

  /** The row or the object does not exist. */
  record Absent() implements PlatformAnswer {}
}
