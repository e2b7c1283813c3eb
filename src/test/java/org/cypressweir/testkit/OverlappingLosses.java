package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/**
 * Random scenarios in which losses overlap: the replicas are partitioned into two sides while changes are submitted to
 * both. During the partition or soon after it, the largest tolerated number of disks is lost at once, while all other
 * replicas lose power. Every acknowledged change must be present once all replicas run again.
 */
public final class OverlappingLosses {

    private static final long STEP_MICROS = 20_000;
    private static final long CHANGE_INTERVAL_MICROS = 60_000;
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final long START_MICROS = 3_000_000;
    /** Longer than the time after which an unresponsive voter may be replaced. */
    private static final long MAX_PARTITION_MICROS = 7_000_000;

    private static final long MAX_MICROS_AFTER_PARTITION = 1_500_000;
    private static final long RECOVERY_MICROS = 15_000_000;

    private final SplittableRandom random;
    private final SimulatedReplicas simulation;
    private final int maxLostDisks;
    private long changes;
    private long nextChangeAt;

    /**
     * @param voters the number of voters: 2n + 1, where n disks may be lost
     * @param standbys the number of further replicas, which wait to be admitted as voters
     */
    public OverlappingLosses(long seed, int voters, int standbys) {
        random = new SplittableRandom(seed * 37 + 10L * voters + standbys);
        maxLostDisks = (voters - 1) / 2;
        simulation = new SimulatedReplicas(seed, voters);
        simulation.maxDelayMicros = 1 + random.nextLong(10_000);
        simulation.maxWriteMicros = 1 + random.nextLong(10_000);
        for (int i = 1; i <= standbys; i++) {
            simulation.start(voters + i);
        }
        run(START_MICROS);
    }

    /** The first violation in the given number of scenarios of each size, or null. */
    public static String findViolation(int scenarios) {
        for (long seed = 0; seed < scenarios; seed++) {
            for (int[] size : new int[][] {{5, 0}, {5, 1}, {3, 0}}) {
                String violation = new OverlappingLosses(seed, size[0], size[1]).run();
                if (violation != null) {
                    return "seed " + seed + " with " + size[0] + " voters: " + violation;
                }
            }
        }
        return null;
    }

    /** How many changes were acknowledged. */
    public int acknowledged() {
        return simulation.checks().accepted();
    }

    /** Runs the scenario; returns the first violation, or null. */
    public String run() {
        partition();
        long partitionMicros = random.nextLong(MAX_PARTITION_MICROS);
        run(partitionMicros);
        if (random.nextBoolean()) {
            simulation.heal();
            run(random.nextLong(MAX_MICROS_AFTER_PARTITION));
        }
        loseDisksAndPower();
        simulation.heal();
        simulation.run(RECOVERY_MICROS);
        return isReadAnswered() ? simulation.checks().violation() : "no read is answered after all replicas run again";
    }

    /** Whether any replica answers a read: a standby need not answer one. */
    private boolean isReadAnswered() {
        return simulation.runningReplicas().stream()
                .anyMatch(replica ->
                        simulation.await(simulation.read(replica, TIMEOUT_MICROS)) instanceof ProposalResult.Read);
    }

    /** Separates at least one and at most half of the replicas from the others. */
    private void partition() {
        List<Replica> all = shuffled();
        int separated = 1 + random.nextInt(all.size() / 2);
        for (Replica one : all.subList(0, separated)) {
            for (Replica other : all.subList(separated, all.size())) {
                simulation.block(one.address(), other.address());
                simulation.block(other.address(), one.address());
            }
        }
    }

    private void loseDisksAndPower() {
        List<Replica> all = shuffled();
        all.subList(0, maxLostDisks).forEach(simulation::wipe);
        all.subList(maxLostDisks, all.size()).forEach(simulation::crash);
        all.forEach(replica -> simulation.start(replica.address(), false));
    }

    private List<Replica> shuffled() {
        List<Replica> from = new ArrayList<>(simulation.runningReplicas());
        List<Replica> shuffled = new ArrayList<>();
        while (!from.isEmpty()) {
            shuffled.add(from.remove(random.nextInt(from.size())));
        }
        return shuffled;
    }

    private Replica anyRunning() {
        List<Replica> running = simulation.runningReplicas();
        return running.get(random.nextInt(running.size()));
    }

    private void run(long micros) {
        for (long until = simulation.now() + micros; simulation.now() < until; ) {
            if (simulation.now() >= nextChangeAt) {
                nextChangeAt = simulation.now() + CHANGE_INTERVAL_MICROS;
                simulation.submit(anyRunning(), nextChange(), TIMEOUT_MICROS);
            }
            simulation.run(STEP_MICROS);
        }
    }

    private String nextChange() {
        return "{\"upsert\":{\"tenantTable\":{\"t" + changes % 5 + "\":{\"apiKeys\":[\"k" + changes
                + "\"],\"configVersion\":\"r" + ++changes + "\"}}}}";
    }
}
