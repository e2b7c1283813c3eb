package org.cypressweir.sidecar.plugin;

/**
 * Decides how long to wait for a call of a plug-in. The deadline counts the CPU time of the plug-in's thread since the
 * call, because a thread that was not scheduled has not been slow. The elapsed time is limited as well, because the
 * request's own time-out is running. Reads no clock: the caller passes both times.
 */
public final class InvocationDeadline {

    /** The elapsed time may exceed the deadline by 9 times its length, but at most by this many microseconds. */
    static final long MAX_EXTRA_MICROS = 50_000;

    static final long EXTRA_FACTOR = 9;
    /** The shortest wait until the next check, in microseconds. */
    static final long MIN_WAIT_MICROS = 200;

    private final long deadlineMicros;
    private final long maxWaitMicros;

    /** @param deadlineMicros of CPU time, above 0 */
    public InvocationDeadline(long deadlineMicros) {
        this.deadlineMicros = deadlineMicros;
        maxWaitMicros = deadlineMicros + Math.min(MAX_EXTRA_MICROS, EXTRA_FACTOR * deadlineMicros);
    }

    /**
     * Returns how long to continue waiting.
     *
     * @param elapsedMicros elapsed time since the plug-in was called
     * @param cpuMicros CPU time of its thread since then; below 0 if the system does not report it, and then
     *         only the elapsed time counts
     * @return microseconds until the next check; 0 if the call has timed out
     */
    public long remainingWaitMicros(long elapsedMicros, long cpuMicros) {
        long countedMicros = cpuMicros < 0 ? elapsedMicros : Math.min(cpuMicros, elapsedMicros);
        if (countedMicros >= deadlineMicros || elapsedMicros >= maxWaitMicros) {
            return 0;
        }
        return Math.min(Math.max(MIN_WAIT_MICROS, deadlineMicros - countedMicros), maxWaitMicros - elapsedMicros);
    }
}
