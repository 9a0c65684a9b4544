package org.persimmonwalk.internal.standin.platform;

import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.HostEntry;

/** A request to the platform, free of its encoding. */
public sealed interface PlatformRequest {

  /** Returns whether the request changes state. */
  default boolean isWrite() {
    return false;
  }

  /** Reads a row. */
  record ReadRow(String table, String row) implements PlatformRequest {}

  /** Replaces a row if it has the expected version; 0 stands for a row that does not exist. */
  record WriteRow(String table, String row, long expectedVersion, String content)
      implements PlatformRequest {
    @Override
    public boolean isWrite() {
      return true;
    }
  }

  /** Reads an object. */
  record ReadObject(String name) implements PlatformRequest {}

  /** Writes an object. */
  record WriteObject(String name, byte[] content) implements PlatformRequest {
    @Override
    public boolean isWrite() {
      return true;
    }
  }

  /** Lists the hosts. */
  record ListHosts() implements PlatformRequest {}

  /** Adds or replaces a host of the list. */
  record PutHost(HostEntry host) implements PlatformRequest {
    @Override
    public boolean isWrite() {
      return true;
    }
  }

  /** Removes a host from the list. */
  record RemoveHost(EntryHostId host) implements PlatformRequest {
    @Override
    public boolean isWrite() {
      return true;
    }
  }
}
