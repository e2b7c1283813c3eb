package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/**
 * Random losses of machines while changes are submitted: the largest tolerated number of machines is lost at once, and
 * replacements with empty disks start. After the time that users allow for the replacement, the same number of machines
 * is lost for good.
 */
public final class MachineLosses {

    /** The time that users allow until replacements are full voters. */
    private static final long SYNC_TIME_MICROS = 4_000_000;

    private static final long MAX_MICROS_AFTER_RETURN = 1_500_000;
    private static final long STEP_MICROS = 20_000;
    private static final long CHANGE_INTERVAL_MICROS = 100_000;
    private static final long TIMEOUT_MICROS = 3_000_000;

    private final SplittableRandom random;
    private final SimulatedReplicas simulation;
    private final int count;
    private final int standbys;
    private long changes;
    private long nextChangeAt;

    /** @param standbys the number of further replicas, which wait from the start to be admitted as voters */
    public MachineLosses(long seed, int count, int standbys) {
        random = new SplittableRandom(seed * 31 + count);
        this.count = count;
        this.standbys = standbys;
        simulation = new SimulatedReplicas(seed, count);
        simulation.maxDelayMicros = 1 + random.nextLong(30_000);
        simulation.maxWriteMicros = 1 + random.nextLong(20_000);
        for (int i = 1; i <= standbys; i++) {
            simulation.start(count + i);
        }
        run(3_000_000);
    }

    /** The first violation in the given number of scenarios with five and with three replicas, or null. */
    public static String findViolation(int scenarios) {
        for (long seed = 0; seed < scenarios; seed++) {
            String of5 = new MachineLosses(seed, 5, 0).secondLoss();
            String breach = of5 != null ? of5 : new MachineLosses(seed, 3, 1).secondLoss();
            long until = new MachineLosses(seed, 3, 0).untilThreeVote(true);
            if (breach != null || until < 0 || until > MAX_MICROS_AFTER_RETURN) {
                return "seed " + seed + ": " + breach + ", three voters again after " + until;
            }
        }
        return null;
    }

    private void run(long micros) {
        for (long until = simulation.now() + micros; simulation.now() < until; ) {
            step();
        }
    }

    private void step() {
        if (simulation.now() >= nextChangeAt) {
            nextChangeAt = simulation.now() + CHANGE_INTERVAL_MICROS;
            List<Replica> running = simulation.runningReplicas();
            simulation.submit(running.get(random.nextInt(running.size())), nextChange(), TIMEOUT_MICROS);
        }
        simulation.run(STEP_MICROS);
    }

    private String nextChange() {
        return "{\"upsert\":{\"tenantTable\":{\"t" + changes % 7 + "\":{\"apiKeys\":[\"k" + changes
                + "\"],\"configVersion\":\"r" + ++changes + "\"}}}}";
    }

    private List<Replica> chooseRunning(int lossCount) {
        List<Replica> running = new ArrayList<>(simulation.runningReplicas());
        List<Replica> chosen = new ArrayList<>();
        for (int i = 0; i < lossCount; i++) {
            chosen.add(running.remove(random.nextInt(running.size())));
        }
        return chosen;
    }

    /** Loses these replicas with their disks, and starts a replacement for each, at the same address or at another. */
    private void replace(List<Replica> lost, int from) {
        boolean sameAddress = random.nextBoolean();
        lost.forEach(simulation::wipe);
        run(random.nextLong(6_000_000));
        for (int i = 0; i < lost.size(); i++) {
            simulation.start(sameAddress ? lost.get(i).address() : "10.0.0." + (from + i) + ":7", false);
        }
    }

    /** Loses machines twice; returns the violation after the second loss, or null. */
    public String secondLoss() {
        int lossCount = (count - 1) / 2;
        replace(chooseRunning(lossCount), count + standbys + 1);
        run(SYNC_TIME_MICROS + random.nextLong(3_000_000));
        chooseRunning(lossCount).forEach(simulation::wipe);
        run(1_000_000);
        ProposalResult answer = null;
        for (int i = 0; i < 20 && !(answer instanceof ProposalResult.Committed); i++) {
            List<Replica> running = simulation.runningReplicas();
            answer = simulation.await(simulation.submit(running.get(i % running.size()), nextChange(), 1_000_000));
        }
        if (!(answer instanceof ProposalResult.Committed)) {
            return "no change is accepted any more: " + answer;
        }
        return simulation.checks().violation();
    }

    /**
     * Loses one voter and returns how long it takes, in microseconds, until there are as many voters as before, the
     * lost one not among them, and each has stored the current voter set. Returns -1 if that does not happen within 20
     * seconds or if two consecutive voter sets differ by more than one member.
     *
     * @param returnsBlank whether a replica with an empty disk starts at the lost voter's address
     */
    public long untilThreeVote(boolean returnsBlank) {
        Replica lost = simulation.replica(1 + random.nextInt(count));
        long at = simulation.now();
        simulation.wipe(lost);
        if (returnsBlank) {
            simulation.start(lost.address(), false);
        }
        while (simulation.now() - at < 20_000_000) {
            step();
            for (Replica one : simulation.runningReplicas()) {
                List<String> voters = one.consensus().committed().voters();
                long voting = simulation.runningReplicas().stream()
                        .filter(h -> voters.contains(h.consensus().replicaKey())
                                && h.disk() != null
                                && h.disk().voters().equals(voters))
                        .count();
                if (voting == count && !voters.contains(lost.address())) {
                    return simulation.checks().hasLargeVoterChange() ? -1 : simulation.now() - at;
                }
            }
        }
        return -1;
    }
}
