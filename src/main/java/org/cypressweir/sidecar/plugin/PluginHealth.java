package org.cypressweir.sidecar.plugin;

/**
 * Circuit breaker of a plug-in: after several consecutive failures the plug-in is suspended. The length of the
 * suspension doubles each time a call fails afterwards before one has succeeded. Reads no clock: callers pass the time.
 */
public final class PluginHealth {

    /** Consecutive failures until a suspension; most doublings of its length; the length of the first. */
    static final int FAILURES_TO_SUSPEND = 5;

    static final int MAX_DOUBLINGS = 6;

    static final long FIRST_SUSPENSION_MICROS = 1_000_000;

    private int failures;
    private int suspensions;
    private long suspendedUntil;

    /** Whether the plug-in may be called now, that is, is not suspended. */
    public boolean mayCall(long nowMicros) {
        return nowMicros >= suspendedUntil;
    }

    /** Records a successful call. */
    public void succeeded() {
        failures = 0;
        suspensions = 0;
    }

    /** Records a failed call; true if the plug-in is suspended from now on. */
    public boolean failed(long nowMicros) {
        failures++;
        if (failures < FAILURES_TO_SUSPEND && suspensions == 0) {
            return false;
        }
        suspendedUntil = nowMicros + (FIRST_SUSPENSION_MICROS << Math.min(suspensions, MAX_DOUBLINGS));
        suspensions++;
        failures = 0;
        return true;
    }

    /** The end of the suspension; a time in the past if it is not suspended. */
    public long suspendedUntil() {
        return suspendedUntil;
    }
}
