package org.persimmonwalk.bench.capacity;

import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/**
 * A client of the PostgreSQL protocol that keeps no state but its socket, so that it adds little to
 * the memory measured for the entry host in the same process.
 */
final class RawCaller implements AutoCloseable {
  private static final int PROTOCOL_VERSION = 196608;
  private static final int LENGTH_FIELD_BYTES = 4;

  private final SocketChannel channel;

  private RawCaller(SocketChannel channel) {
    this.channel = channel;
  }

  /**
   * Connects, sends the password in clear text if the server requests it, and waits for
   * ReadyForQuery.
   */
  static RawCaller connect(int port, String user, String password, String database)
      throws IOException {
    RawCaller caller = new RawCaller(SocketChannel.open(new InetSocketAddress("127.0.0.1", port)));
    caller.logIn(user, password, database);
    return caller;
  }

  /** Runs a statement and returns the size of the whole answer in bytes. */
  int query(String text) throws IOException {
    send('Q', text);
    int bytes = 0;
    DataInputStream input = input();
    while (true) {
      int type = input.readUnsignedByte();
      int length = input.readInt();
      input.skipNBytes(length - LENGTH_FIELD_BYTES);
      bytes += 1 + length;
      if (type == 'E') {
        throw new IOException("the server refused the statement: " + text);
      }
      if (type == 'Z') {
        return bytes;
      }
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }

  private void logIn(String user, String password, String database) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    DataOutputStream startup = new DataOutputStream(body);
    startup.writeInt(PROTOCOL_VERSION);
    for (String text : new String[] {"user", user, "database", database, ""}) {
      startup.write(text.getBytes(StandardCharsets.UTF_8));
      startup.writeByte(0);
    }
    DataOutputStream output = output();
    output.writeInt(body.size() + LENGTH_FIELD_BYTES);
    output.write(body.toByteArray());
    output.flush();
    awaitReady(password);
  }

  private void awaitReady(String password) throws IOException {
    DataInputStream input = input();
    while (true) {
      int type = input.readUnsignedByte();
      int length = input.readInt() - LENGTH_FIELD_BYTES;
      if (type == 'Z') {
        input.skipNBytes(length);
        return;
      }
      if (type == 'E') {
        throw new IOException("the server refused the connection");
      }
      int remaining = length;
      if (type == 'R') {
        remaining -= LENGTH_FIELD_BYTES;
        if (input.readInt() != 0) {
          send('p', password);
        }
      }
      input.skipNBytes(remaining);
    }
  }

  private void send(char type, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    DataOutputStream output = output();
    output.writeByte(type);
    output.writeInt(LENGTH_FIELD_BYTES + bytes.length + 1);
    output.write(bytes);
    output.writeByte(0);
    output.flush();
  }

  private DataInputStream input() {
    return new DataInputStream(Channels.newInputStream(channel));
  }

  /** Buffered, because a message sent in several small packets waits for delayed TCP ACKs. */
  private DataOutputStream output() {
    return new DataOutputStream(new BufferedOutputStream(Channels.newOutputStream(channel)));
  }
}
