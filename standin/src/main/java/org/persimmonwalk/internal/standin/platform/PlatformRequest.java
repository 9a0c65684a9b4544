package org.persimmonwalk.internal.standin.platform;

import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.HostEntry;

/** A request to the platform, independent of HTTP and JSON. */
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

  /** Adds a host to the list, or replaces the one with its id. */
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
