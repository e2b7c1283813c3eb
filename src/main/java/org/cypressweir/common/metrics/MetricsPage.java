package org.cypressweir.common.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.prometheus.metrics.model.snapshots.Quantiles;
import io.prometheus.metrics.model.snapshots.SummarySnapshot;
import io.prometheus.metrics.model.snapshots.SummarySnapshot.SummaryDataPointSnapshot;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One page of metrics, built anew for each request: the owners of metrics add their values, and {@link #toText} writes
 * them in the Prometheus text format, version 0.0.4. All values of one name must have the same help text and label
 * names. Durations are given in microseconds and written in seconds. Not thread-safe.
 */
public final class MetricsPage {

    /** The media type of {@link #toText}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};
    private static final double MICROS_PER_SECOND = 1e6;

    private final Map<String, CounterSnapshot.Builder> counters = new LinkedHashMap<>();
    private final Map<String, GaugeSnapshot.Builder> gauges = new LinkedHashMap<>();
    private final Map<String, SummarySnapshot.Builder> summaries = new LinkedHashMap<>();

    /**
     * Adds a value that only grows while the process runs.
     *
     * @param name without the suffix {@code _total}, which is added
     * @param labels alternating names and values
     */
    public void counter(String name, String help, double value, String... labels) {
        counters.computeIfAbsent(
                        name, key -> CounterSnapshot.builder().name(key).help(help))
                .dataPoint(CounterDataPointSnapshot.builder()
                        .labels(Labels.of(labels))
                        .value(value)
                        .build());
    }

    /** Adds a value that rises and falls. */
    public void gauge(String name, String help, double value, String... labels) {
        gauges.computeIfAbsent(name, key -> GaugeSnapshot.builder().name(key).help(help))
                .dataPoint(GaugeDataPointSnapshot.builder()
                        .labels(Labels.of(labels))
                        .value(value)
                        .build());
    }

    /** Adds a gauge that is 1 where the value is true, and 0 otherwise. */
    public void flag(String name, String help, boolean value, String... labels) {
        gauge(name, help, value ? 1 : 0, labels);
    }

    /** Adds durations: their number, their sum and their quantiles since the start of the process, in seconds. */
    public void durations(String name, String help, LatencyHistogram durations, String... labels) {
        Quantiles.Builder quantiles = Quantiles.builder();
        for (double quantile : QUANTILES) {
            quantiles.quantile(quantile, durations.quantileMicros(quantile) / MICROS_PER_SECOND);
        }
        summaries
                .computeIfAbsent(
                        name, key -> SummarySnapshot.builder().name(key).help(help))
                .dataPoint(SummaryDataPointSnapshot.builder()
                        .labels(Labels.of(labels))
                        .count(durations.count())
                        .sum(durations.sumMicros() / MICROS_PER_SECOND)
                        .quantiles(quantiles.build())
                        .build());
    }

    /** The text of the page in UTF-8. */
    public byte[] toText() {
        MetricSnapshots.Builder all = MetricSnapshots.builder();
        counters.values().forEach(counter -> all.metricSnapshot(counter.build()));
        gauges.values().forEach(gauge -> all.metricSnapshot(gauge.build()));
        summaries.values().forEach(summary -> all.metricSnapshot(summary.build()));
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, all.build());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toByteArray();
    }
}
