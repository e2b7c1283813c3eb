package org.cypressweir.sidecar.plugin;

/**
 * Whether a plug-in is called at all: after some failures in a row it is left out for a while, and the while
 * doubles each time it fails at once after that. No clock: calls bring the time.
 */
public final class PluginHealth {

    /** Failures in a row; first while without it, and its doublings. */
    static final int FAILURES = 5;

    static final int DOUBLINGS = 6;

    static final long FIRST = 1_000_000;

    private int failures;
    private int times;
    private long outUntil;

    /**
     * Whether it may be called now. Past its while a single call is let through, and the next after its
     * end.
     */
    public boolean mayCall(long nowMicros) {
        return nowMicros >= outUntil;
    }

    /** A call went well. */
    public void well() {
        failures = 0;
        times = 0;
    }

    /** A call failed; whether it is left out from now on. */
    public boolean failed(long nowMicros) {
        failures++;
        if (failures < FAILURES && times == 0) {
            return false;
        }
        outUntil = nowMicros + (FIRST << Math.min(times, DOUBLINGS));
        times++;
        failures = 0;
        return true;
    }

    /** Until when it is left out; a time that has passed where it is not. */
    public long outUntil() {
        return outUntil;
    }
}
