package org.cypressweir.loadbalancing;

import java.util.function.DoubleSupplier;

/** A figure that is dear to measure, and so measured anew after a while only. */
public final class CachedMeasurement {

    private final long everyMicros;
    private double figure;
    private long measuredAt = -1;

    public CachedMeasurement(long everyMicros) {
        this.everyMicros = everyMicros;
    }

    /** As it is now, or was a little while ago. */
    public double at(long nowMicros, DoubleSupplier measure) {
        if (measuredAt < 0 || nowMicros - measuredAt >= everyMicros) {
            measuredAt = nowMicros;
            figure = measure.getAsDouble();
        }
        return figure;
    }
}
