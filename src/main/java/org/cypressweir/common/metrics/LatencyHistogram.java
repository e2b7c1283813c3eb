package org.cypressweir.common.metrics;

import org.HdrHistogram.IntCountsHistogram;

/**
 * A histogram of durations with quantiles to two significant digits. Allocates its memory when the first duration
 * is recorded. Not thread-safe.
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

    /** The duration at a quantile between 0 and 1; 0 where nothing was recorded. */
    public long quantileMicros(double quantile) {
        return histogram == null ? 0 : histogram.getValueAtPercentile(quantile * 100);
    }
}
