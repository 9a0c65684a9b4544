package org.persimmonwalk.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.internal.check.Names;
import org.persimmonwalk.internal.store.HttpOutcome;
import org.persimmonwalk.internal.store.HttpTransport;
import org.persimmonwalk.internal.store.PlatformFormat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.model.WriteResult;
import org.persimmonwalk.port.HostListing;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * An asynchronous client of the platform's table service, object store and host list. Safe for use
 * by several threads.
 *
 * <p>Stages other than those of {@link #compareAndSet} fail with {@link PersimmonwalkException}:
 * code {@link ResultCode#PLATFORM_UNAVAILABLE} if the request cannot be sent, gets no response or
 * gets a status of 500 or above, code {@link ResultCode#PLATFORM_ANSWER_INVALID} if the response is
 * invalid.
 */
public final class PlatformClient implements HostListing, AutoCloseable {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final HttpTransport transport;
  private final PlatformFormat format = PlatformFormat.create();

  private PlatformClient(HttpTransport transport) {
    this.transport = transport;
  }

  /** Returns a client; it connects with the first request. */
  public static PlatformClient create(PlatformSettings settings) {
    return new PlatformClient(HttpTransport.create(settings));
  }

  /** Reads a row; returns {@link VersionedRow#absent()} if it does not exist. */
  public CompletionStage<VersionedRow> readRow(TableRow row, RowCodec<?> codec) {
    return transport
        .get(path(row))
        .thenApply(
            outcome ->
                body(outcome).map(body -> format.row(body, codec)).orElseGet(VersionedRow::absent));
  }

  /**
   * Replaces a row if it still has the expected version. The stage never fails. After {@link
   * WriteOutcome#UNKNOWN} the write may still take effect. After {@link WriteOutcome#UNKNOWN} and
   * {@link WriteOutcome#UNAVAILABLE} the version of the result is the expected one.
   *
   * @throws IllegalArgumentException if the codec cannot encode the value
   */
  public <T extends RowValue> CompletionStage<WriteResult> compareAndSet(
      TableRow row, RowVersion expected, T value, RowCodec<T> codec) {
    byte[] request = format.writeRequest(expected, value, codec);
    return transport.put(path(row), request).thenApply(outcome -> writeResult(outcome, expected));
  }

  /** Reads an object, empty if it does not exist. */
  public CompletionStage<Optional<byte[]>> getObject(String name) {
    return transport.get(objectPath(name)).thenApply(PlatformClient::body);
  }

  /** Writes an object; if the stage fails, the object may have been written. */
  public CompletionStage<Void> putObject(String name, byte[] content) {
    return transport
        .put(objectPath(name), content)
        .thenAccept(
            outcome -> {
              if (body(outcome).isEmpty()) {
                throw invalid("status 404 for a write");
              }
            });
  }

  @Override
  public CompletionStage<List<HostEntry>> list() {
    return transport
        .get("/hosts")
        .thenApply(
            outcome ->
                format.hosts(
                    body(outcome).orElseThrow(() -> invalid("status 404 for the host list"))));
  }

  @Override
  public void close() {
    transport.close();
  }

  private WriteResult writeResult(HttpOutcome outcome, RowVersion expected) {
    if (outcome instanceof HttpOutcome.NotSent) {
      return WriteResult.of(WriteOutcome.UNAVAILABLE, expected);
    }
    if (outcome instanceof HttpOutcome.Responded response) {
      boolean refused =
          response.status() < SERVER_ERROR || response.status() == SERVICE_UNAVAILABLE;
      if (response.status() == OK || response.status() == CONFLICT) {
        return completedWrite(response, expected);
      } else if (refused) {
        return WriteResult.of(WriteOutcome.UNAVAILABLE, expected);
      }
    }
    return WriteResult.of(WriteOutcome.UNKNOWN, expected);
  }

  private WriteResult completedWrite(HttpOutcome.Responded response, RowVersion expected) {
    try {
      WriteOutcome outcome = response.status() == OK ? WriteOutcome.WRITTEN : WriteOutcome.CONFLICT;
      return WriteResult.of(outcome, format.version(response.body()));
    } catch (PersimmonwalkException invalidBody) {
      return WriteResult.of(WriteOutcome.UNKNOWN, expected);
    }
  }

  /** Returns the body of a successful response, empty if the status is 404. */
  private static Optional<byte[]> body(HttpOutcome outcome) {
    if (outcome instanceof HttpOutcome.NotSent notSent) {
      throw unavailable(notSent.reason());
    } else if (outcome instanceof HttpOutcome.ResponseLost lost) {
      throw unavailable(lost.reason());
    } else if (outcome instanceof HttpOutcome.ResponseTooLarge tooLarge) {
      throw invalid("the response is larger than " + tooLarge.limitBytes() + " bytes");
    }
    HttpOutcome.Responded response = (HttpOutcome.Responded) outcome;
    if (response.status() >= SERVER_ERROR) {
      throw unavailable("status " + response.status());
    } else if (response.status() == NOT_FOUND) {
      return Optional.empty();
    } else if (response.status() != OK) {
      throw invalid("status " + response.status());
    }
    return Optional.of(response.body());
  }

  private static PersimmonwalkException unavailable(String reason) {
    return PersimmonwalkException.of(
        ResultCode.PLATFORM_UNAVAILABLE, "the platform is unavailable: " + reason + "; retry");
  }

  private static PersimmonwalkException invalid(String reason) {
    return PersimmonwalkException.of(
        ResultCode.PLATFORM_ANSWER_INVALID,
        "the platform sent an invalid response: " + reason + "; check the platform's version");
  }

  private static String path(TableRow row) {
    return "/tables/" + row.table() + "/" + row.row();
  }

  private static String objectPath(String name) {
    return "/objects/" + Names.check("object", name);
  }
}
