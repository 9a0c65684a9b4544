package org.persimmonwalk.internal.admin;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Returns the values of all counters, gauges, meters, histograms and timers. */
final class MetricsResource implements AdminResource {
  private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

  private final MetricRegistry registry;

  private MetricsResource(MetricRegistry registry) {
    this.registry = registry;
  }

  static MetricsResource of(MetricRegistry registry) {
    return new MetricsResource(registry);
  }

  @Override
  public String method() {
    return "GET";
  }

  @Override
  public String path() {
    return "/metrics";
  }

  @Override
  public AdminResponse handle() {
    ObjectNode tree = JsonNodeFactory.instance.objectNode();
    putCounts(tree.putObject("counters"), registry.getCounters());
    ObjectNode gauges = tree.putObject("gauges");
    registry.getGauges().forEach((name, gauge) -> putGauge(gauges, name, gauge));
    putCounts(tree.putObject("meters"), registry.getMeters());
    ObjectNode histograms = tree.putObject("histograms");
    registry
        .getHistograms()
        .forEach(
            (name, histogram) -> {
              ObjectNode node = histograms.putObject(name).put("count", histogram.getCount());
              putQuantiles(node, histogram.getSnapshot(), 1, "");
            });
    ObjectNode timers = tree.putObject("timers");
    registry.getTimers().forEach((name, timer) -> putTimer(timers.putObject(name), timer));
    return AdminResponse.ok(tree);
  }

  private static void putCounts(ObjectNode tree, Map<String, ? extends Counting> counts) {
    counts.forEach(
        (name, count) -> {
          if (count instanceof Meter meter) {
            tree.putObject(name)
                .put("count", meter.getCount())
                .put("perSecondOverOneMinute", meter.getOneMinuteRate());
          } else {
            tree.put(name, count.getCount());
          }
        });
  }

  private static void putGauge(ObjectNode tree, String name, Gauge<?> gauge) {
    Object value = gauge.getValue();
    if (value instanceof Long || value instanceof Integer) {
      tree.put(name, ((Number) value).longValue());
    } else if (value instanceof Number number) {
      tree.put(name, number.doubleValue());
    } else {
      tree.put(name, String.valueOf(value));
    }
  }

  private static void putTimer(ObjectNode tree, Timer timer) {
    tree.put("count", timer.getCount());
    tree.put("perSecondOverOneMinute", timer.getOneMinuteRate());
    putQuantiles(tree, timer.getSnapshot(), NANOSECONDS_PER_MILLISECOND, "Milliseconds");
  }

  private static void putQuantiles(ObjectNode tree, Snapshot values, double unit, String suffix) {
    tree.put("median" + suffix, values.getMedian() / unit);
    tree.put("percentile95" + suffix, values.get95thPercentile() / unit);
    tree.put("percentile99" + suffix, values.get99thPercentile() / unit);
    tree.put("maximum" + suffix, values.getMax() / unit);
  }
}
