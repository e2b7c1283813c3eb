package org.cypressweir.sidecar.plugin;

/**
 * How long a call is waited for. The deadline counts what the plug-in's thread had of a processor since it
 * was asked, since a thread that got none has not been slow; by the clock there is a bound as well, since the
 * request's own time runs. No clock: the caller brings both times.
 */
public final class InvocationDeadline {

    /** What a deadline may be passed by, by the clock: 9 times itself, and so many microseconds at most. */
    static final long MOST_EXTRA = 50_000;

    static final long EXTRA_SHARE = 9;
    /** The shortest wait until the next look, in microseconds. */
    static final long LEAST_WAIT = 200;

    private final long deadlineMicros;
    private final long endMicros;

    /** @param deadlineMicros of processor time, above 0 */
    public InvocationDeadline(long deadlineMicros) {
        this.deadlineMicros = deadlineMicros;
        endMicros = deadlineMicros + Math.min(MOST_EXTRA, EXTRA_SHARE * deadlineMicros);
    }

    /**
     * How long to go on waiting.
     *
     * @param waitedMicros by the clock since the plug-in was asked
     * @param usedMicros of a processor by its thread since then; below 0 where the system does not tell, and
     *         then the clock alone counts
     * @return microseconds until the next look; 0 where it is out of time
     */
    public long more(long waitedMicros, long usedMicros) {
        long used = usedMicros < 0 ? waitedMicros : Math.min(usedMicros, waitedMicros);
        if (used >= deadlineMicros || waitedMicros >= endMicros) {
            return 0;
        }
        return Math.min(Math.max(LEAST_WAIT, deadlineMicros - used), endMicros - waitedMicros);
    }
}
