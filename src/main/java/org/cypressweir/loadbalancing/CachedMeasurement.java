package org.cypressweir.loadbalancing;

import java.util.function.DoubleSupplier;

/** A value that is expensive to compute, and so is recomputed only once its age reaches an interval. */
public final class CachedMeasurement {

    private final long intervalMicros;
    private double value;
    private long measuredAt = -1;

    public CachedMeasurement(long intervalMicros) {
        this.intervalMicros = intervalMicros;
    }

    /** The value now, or as it was less than the interval ago. */
    public double get(long nowMicros, DoubleSupplier measure) {
        if (measuredAt < 0 || nowMicros - measuredAt >= intervalMicros) {
            measuredAt = nowMicros;
            value = measure.getAsDouble();
        }
        return value;
    }
}
