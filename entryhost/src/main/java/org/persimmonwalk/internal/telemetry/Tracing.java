package org.persimmonwalk.internal.telemetry;

import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;

/** The OpenTelemetry tracer of an entry host. Closing it exports the remaining spans. */
public final class Tracing implements AutoCloseable {
  private final SdkTracerProvider provider;

  private Tracing(SdkTracerProvider provider) {
    this.provider = provider;
  }

  /**
   * Returns tracing that exports a random sample of the traces.
   *
   * @param sampleRatio the fraction of the traces that is exported, from 0 to 1
   */
  public static Tracing of(double sampleRatio, SpanExporter exporter) {
    return new Tracing(
        SdkTracerProvider.builder()
            .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(sampleRatio)))
            .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
            .build());
  }

  /** Returns the tracer. */
  public Tracer tracer() {
    return provider.get("org.persimmonwalk.entryhost");
  }

  @Override
  public void close() {
    provider.close();
  }
}
