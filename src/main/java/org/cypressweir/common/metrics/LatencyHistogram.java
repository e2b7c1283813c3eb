package org.cypressweir.common.metrics;

import org.HdrHistogram.IntCountsHistogram;

/**
 * Durations with their quantiles, to two significant digits. It takes memory only once something is recorded. Not
 * thread-safe.
 */
public final class LatencyHistogram {

    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long MAX_MICROS = 600_000_000;

    private IntCountsHistogram histogram;
    private long sumMicros;

    public void record(long micros) {
        if (histogram == null) {
            histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);
            histogram.setAutoResize(true);
        }
        long bounded = Math.max(0, Math.min(MAX_MICROS, micros));
        histogram.recordValue(bounded);
        sumMicros += bounded;
    }

    public long count() {
        return histogram == null ? 0 : histogram.getTotalCount();
    }

    /** The sum of all durations. */
    public long sumMicros() {
        return sumMicros;
    }

    /** The duration that this part of all did not exceed; 0 where nothing was recorded. */
    public long quantileMicros(double quantile) {
        return histogram == null ? 0 : histogram.getValueAtPercentile(quantile * 100);
    }
}
