package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;
import org.cypressweir.fleet.lease.LeaseOptions;

/**
 * Options of membership and of the features that are built on it.
 *
 * @param cluster name of the fleet; messages of other fleets are dropped
 * @param listen local address, which messages are also sent from
 * @param advertise address at which other processes reach this one
 * @param seeds addresses of some processes; the own address may be among them
 * @param pauseMicros longest pause of a process that does not cost it its membership
 * @param periodMicros interval between probes of a neighbor
 * @param maxMembers maximum number of names that are kept, whatever others send
 * @param eventFile file for the events that this process observes, a line of JSON each; null for none
 * @param shares how fleet-wide limits are divided among the live processes; null if they are not
 * @param leases options of the leases for fleet-wide tasks; null for none
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

    /** Value of {@code maxMembers} if the settings do not give one. */
    public static final int DEFAULT_MAX_MEMBERS = 10_000;

    private static final int TICKS_PER_PERIOD = 8;
    private static final long MIN_TICK_MICROS = 1_000;

    /** Options without shares and leases. */
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
     * These options with shares; the seeds are the voters.
     *
     * @param lingerMicros how long a paused process may keep in use what it had in use, such as connections
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

    /** These options with the given leases. */
    public MembershipOptions withLeases(LeaseOptions newLeases) {
        return new MembershipOptions(
                cluster, listen, advertise, seeds, pauseMicros, periodMicros, maxMembers, eventFile, shares, newLeases);
    }

    /** These options, with the newer values of those that may change at run time. */
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

    /** Period with which a killed process is detected within the pause plus two seconds. */
    public static long defaultPeriodMicros(long pauseMicros) {
        return pauseMicros * 2 / 15;
    }

    /** Interval between ticks. */
    public long tickMicros() {
        return Math.max(MIN_TICK_MICROS, periodMicros / TICKS_PER_PERIOD);
    }

    /** Time for an update to reach all members, and for a process that was paused to be heard again. */
    public long graceMicros() {
        return Math.max(2 * periodMicros, pauseMicros / 4);
    }

    /**
     * Time without contact after which a neighbor is reported lost. The neighbor may have been paused right after its
     * last response; it then resumes within {@code pauseMicros}, and has the grace period to be heard again.
     */
    public long contactTimeoutMicros() {
        return periodMicros + pauseMicros + graceMicros();
    }

    /** Time within which all members that are in contact know that a process was killed. */
    public long detectionMicros() {
        return contactTimeoutMicros() + 2 * graceMicros();
    }
}
