package org.persimmonwalk.internal.telemetry;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import org.tinylog.Logger;

/** Writes each finished span as one log line with the tag {@code trace}. */
public final class LoggingSpanExporter implements SpanExporter {
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

  private LoggingSpanExporter() {}

  /** Returns the exporter. */
  public static LoggingSpanExporter create() {
    return new LoggingSpanExporter();
  }

  @Override
  public CompletableResultCode export(Collection<SpanData> spans) {
    spans.forEach(LoggingSpanExporter::write);
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode flush() {
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode shutdown() {
    return CompletableResultCode.ofSuccess();
  }

  private static void write(SpanData span) {
    Logger.tag("trace")
        .info(
            "trace={} span={} parent={} name={} microseconds={} status={} {}",
            span.getTraceId(),
            span.getSpanId(),
            span.getParentSpanId(),
            span.getName(),
            (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOSECONDS_PER_MICROSECOND,
            span.getStatus().getStatusCode(),
            span.getAttributes().asMap());
  }
}
