package org.persimmonwalk.internal.store;

import java.io.ByteArrayOutputStream;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Collects the body of an HTTP response in memory, up to a limit. */
public final class BoundedBody implements HttpResponse.BodySubscriber<byte[]> {
  private final int limitBytes;
  private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
  private final CompletableFuture<byte[]> body = new CompletableFuture<>();
  private Flow.Subscription subscription;

  private BoundedBody(int limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns a subscriber that fails if the body has more bytes than the limit. */
  public static BoundedBody of(int limitBytes) {
    return new BoundedBody(limitBytes);
  }

  @Override
  public CompletionStage<byte[]> getBody() {
    return body;
  }

  @Override
  public void onSubscribe(Flow.Subscription newSubscription) {
    subscription = newSubscription;
    subscription.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(List<ByteBuffer> buffers) {
    for (ByteBuffer buffer : buffers) {
      if (collected.size() + buffer.remaining() > limitBytes) {
        subscription.cancel();
        body.completeExceptionally(new ResponseTooLargeException(limitBytes));
        return;
      }
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      collected.writeBytes(bytes);
    }
  }

  @Override
  public void onError(Throwable failure) {
    body.completeExceptionally(failure);
  }

  @Override
  public void onComplete() {
    body.complete(collected.toByteArray());
  }
}
