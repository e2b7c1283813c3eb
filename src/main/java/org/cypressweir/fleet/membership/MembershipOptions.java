package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;
import org.cypressweir.fleet.lease.LeaseOptions;

/**
 * Options of membership and of what is built on it.
 *
 * @param cluster name of the fleet; messages of other fleets are dropped
 * @param listen own address; messages are sent from there
 * @param advertise the address that others use
 * @param seeds addresses of some processes; the own one among them does no harm
 * @param pauseMicros a process that is paused for so long stays a member
 * @param periodMicros from one probe of a neighbor to the next
 * @param maxMembers names that are kept, whatever others send
 * @param eventFile file for the events that this process sees, a line of JSON each; null for none
 * @param shares how limits of the whole fleet are divided among the live processes; null where they are not
 * @param leases for tasks of the whole fleet; null for none
 */
public record MembershipOptions(
        String cluster,
        InetSocketAddress listen,
        InetSocketAddress advertise,
        List<InetSocketAddress> seeds,
        long pauseMicros,
        long periodMicros,
        int maxMembers,
        String eventFile,
        ShareOptions shares,
        LeaseOptions leases) {

    /** Names that are kept where the settings do not say. */
    public static final int DEFAULT_MAX_MEMBERS = 10_000;

    private static final int TICKS_PER_PERIOD = 8;
    private static final long MIN_TICK_MICROS = 1_000;

    /** Without shares and leases. */
    public MembershipOptions(
            String cluster,
            InetSocketAddress listen,
            InetSocketAddress advertise,
            List<InetSocketAddress> seeds,
            long pauseMicros,
            long periodMicros,
            int maxMembers,
            String eventFile) {
        this(cluster, listen, advertise, seeds, pauseMicros, periodMicros, maxMembers, eventFile, null, null);
    }

    /**
     * With shares; the seeds are the voters.
     *
     * @param lingerMicros for which what was in use stays in use at a paused process
     */
    public MembershipOptions withShares(int maxProcesses, long lingerMicros) {
        return new MembershipOptions(
                cluster,
                listen,
                advertise,
                seeds,
                pauseMicros,
                periodMicros,
                maxMembers,
                eventFile,
                new ShareOptions(seeds, detectionMicros(), lingerMicros, maxProcesses),
                leases);
    }

    /** With these leases. */
    public MembershipOptions withLeases(LeaseOptions newLeases) {
        return new MembershipOptions(
                cluster, listen, advertise, seeds, pauseMicros, periodMicros, maxMembers, eventFile, shares, newLeases);
    }

    /** These options with the newer values of those that may change while the process runs. */
    public MembershipOptions reloaded(MembershipOptions newer) {
        return new MembershipOptions(
                cluster,
                listen,
                advertise,
                newer.seeds,
                newer.pauseMicros,
                newer.periodMicros,
                newer.maxMembers,
                eventFile,
                newer.shares,
                newer.leases);
    }

    /** A period by which a killed process is detected within the pause and two seconds. */
    public static long defaultPeriodMicros(long pauseMicros) {
        return pauseMicros * 2 / 15;
    }

    /** From one tick to the next. */
    public long tickMicros() {
        return Math.max(MIN_TICK_MICROS, periodMicros / TICKS_PER_PERIOD);
    }

    /** Time for an update to reach all members, and for a process that was paused to be heard again. */
    public long graceMicros() {
        return Math.max(2 * periodMicros, pauseMicros / 4);
    }

    /**
     * Time without contact after which a neighbor is reported lost. It may have been paused right after its last
     * response, goes on after a pause at the latest, and then has the grace to be heard.
     */
    public long silenceMicros() {
        return periodMicros + pauseMicros + graceMicros();
    }

    /** By then all members that are in contact know that a process was killed. */
    public long detectionMicros() {
        return silenceMicros() + 2 * graceMicros();
    }
}
