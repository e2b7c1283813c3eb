package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;
import org.cypressweir.fleet.lease.LeaseOptions;

/**
 * How a process takes part.
 *
 * @param cluster whose processes these are; others' messages are dropped
 * @param listen its own address; what it sends comes from there
 * @param advertise the address that others are told
 * @param seeds addresses of some processes; the own one among them does no harm
 * @param pauseMicros a process that stands still for so long stays a member
 * @param periodMicros from one question to a neighbour to the next
 * @param most names that are kept, whatever others send
 * @param record file for what it sees, a line of JSON each; null for none
 * @param shares how what all share follows the living; null where it does not
 * @param leases for tasks of the whole fleet; null for none
 */
public record MembershipOptions(
        String cluster,
        InetSocketAddress listen,
        InetSocketAddress advertise,
        List<InetSocketAddress> seeds,
        long pauseMicros,
        long periodMicros,
        int most,
        String record,
        ShareOptions shares,
        LeaseOptions leases) {

    /** Names that are kept where the file does not say. */
    public static final int MOST = 10_000;

    /** Without anything that follows the living. */
    public MembershipOptions(
            String cluster,
            InetSocketAddress listen,
            InetSocketAddress advertise,
            List<InetSocketAddress> seeds,
            long pauseMicros,
            long periodMicros,
            int most,
            String record) {
        this(cluster, listen, advertise, seeds, pauseMicros, periodMicros, most, record, null, null);
    }

    /** With the seeds as electors; for how long things stay in use at a process that stands still. */
    public MembershipOptions sharing(int mostProcesses, long lingerMicros) {
        return new MembershipOptions(
                cluster,
                listen,
                advertise,
                seeds,
                pauseMicros,
                periodMicros,
                most,
                record,
                new ShareOptions(seeds, boundMicros(), lingerMicros, mostProcesses),
                leases);
    }

    /** With these leases. */
    public MembershipOptions leasing(LeaseOptions next) {
        return new MembershipOptions(
                cluster, listen, advertise, seeds, pauseMicros, periodMicros, most, record, shares, next);
    }

    /** A period that lets a killed process be known within the pause and two seconds. */
    public static long period(long pauseMicros) {
        return pauseMicros * 2 / 15;
    }

    /** From one tick to the next. */
    public long beatMicros() {
        return Math.max(1_000, periodMicros / 8);
    }

    /** What a word takes to reach everybody, and an awakened process to be heard. */
    public long graceMicros() {
        return Math.max(2 * periodMicros, pauseMicros / 4);
    }

    /**
     * Silence after which a neighbour says that it has lost touch. The neighbour may have stopped right after
     * the answer before, wakes a pause later at the latest, and then has the grace to be heard.
     */
    public long silenceMicros() {
        return periodMicros + pauseMicros + graceMicros();
    }

    /** By then a process that was killed is known to be gone by all who can talk. */
    public long boundMicros() {
        return silenceMicros() + 2 * graceMicros();
    }

    /** The same with others for what may change while it runs. */
    public MembershipOptions with(MembershipOptions next) {
        return new MembershipOptions(
                cluster,
                listen,
                advertise,
                next.seeds,
                next.pauseMicros,
                next.periodMicros,
                next.most,
                record,
                next.shares,
                next.leases);
    }
}
