package org.cypressweir.testkit;

import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.controlplane.consensus.ReplicatedState;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/**
 * A random fault scenario over three or five replicas with writers and readers: lossy networks, crashes, lost disks,
 * stalled and full disks, partitions, and replaced machines. At most a minority of the voters is down or without its
 * disk at a time, and the state of a lost disk is restored before the next disk is lost. Subclasses may change the
 * submitted calls and the check of the recovery.
 */
public class ConsensusFaults {

    private static final int STEPS = 60;
    private static final long MEAN_STEP_MICROS = 150_000;
    private static final long RECOVERY_MICROS = 15_000_000;

    private final SimulatedReplicas simulation;
    private final SplittableRandom random;
    private final int count;
    private int machines;
    private long versions;

    public ConsensusFaults(long seed) {
        random = new SplittableRandom(seed * 31 + 7);
        count = seed % 3 == 0 ? 5 : 3;
        machines = count;
        simulation = new SimulatedReplicas(seed, count);
        simulation.maxDelayMicros = random.nextBoolean() ? 2_000 : 60_000;
        simulation.lossProbability = random.nextInt(3) * 0.1;
        simulation.duplicateProbability = random.nextInt(2) * 0.2;
    }

    /** The first violation in the given number of scenarios, or null. */
    public static String findViolation(int scenarios) {
        for (long seed = 0; seed < scenarios; seed++) {
            String breach;
            try {
                breach = new ConsensusFaults(seed).run();
            } catch (RuntimeException | AssertionError e) {
                breach = e.toString();
            }
            if (breach != null) {
                return "seed " + seed + ": " + breach;
            }
        }
        return null;
    }

    public int accepted() {
        return simulation.checks().accepted();
    }

    /** Runs the scenario; returns the first violation, or null. */
    public String run() {
        simulation.run(1_000_000);
        for (int step = 0; step < STEPS && simulation.checks().violation() == null; step++) {
            submitRandomCalls();
            fault();
            simulation.run(1 + random.nextLong(2 * MEAN_STEP_MICROS));
        }
        if (simulation.checks().violation() != null) {
            return simulation.checks().violation();
        }
        return checkRecovery();
    }

    protected SimulatedReplicas simulation() {
        return simulation;
    }

    protected Replica anyRunning() {
        List<Replica> running = simulation.runningReplicas();
        return running.get(random.nextInt(running.size()));
    }

    protected void submitRandomCalls() {
        for (int i = random.nextInt(4); i > 0; i--) {
            if (random.nextInt(3) == 0) {
                simulation.read(anyRunning(), 100_000 + random.nextLong(2_000_000));
                continue;
            }
            String tenant = "t" + random.nextInt(3);
            versions += random.nextInt(2);
            simulation.submit(
                    anyRunning(),
                    random.nextInt(6) == 0
                            ? "{\"withdraw\":{\"tenantTable\":[{\"name\":\"" + tenant + "\",\"configVersion\":\"r"
                                    + versions + "\"}]}}"
                            : "{\"upsert\":{\"tenantTable\":{\"" + tenant + "\":{\"apiKeys\":[\"" + tenant
                                    + random.nextInt(100) + "\"],\"configVersion\":\"r" + versions + "\"}}}}",
                    100_000 + random.nextLong(2_000_000));
        }
    }

    /** Whether all replicas run and are voters with their current disks. */
    private boolean areAllVotersHealthy() {
        return simulation.runningReplicas().size() == count
                && simulation.runningReplicas().stream()
                        .noneMatch(h -> h.consensus().isBlank())
                && simulation.runningReplicas().stream()
                        .allMatch(h -> h.consensus().voters().size() == count
                                && h.consensus().voters().contains(h.consensus().replicaKey()));
    }

    private void fault() {
        Replica replica = anyRunning();
        switch (random.nextInt(14)) {
            case 0, 1 -> {
                simulation.crash(replica);
                simulation.start(replica.address(), false);
            }
            case 2 -> {
                if (areAllVotersHealthy()) {
                    simulation.wipe(replica);
                    simulation.start(replica.address(), false);
                }
            }
            case 3 -> {
                if (areAllVotersHealthy()) {
                    simulation.crash(replica);
                    simulation.run(random.nextLong(2_000_000));
                    simulation.start(replica.address(), false);
                }
            }
            case 4 -> {
                if (areAllVotersHealthy() && random.nextInt(3) == 0) {
                    simulation.wipe(replica);
                    simulation.run(random.nextLong(2_000_000));
                    simulation.start(++machines);
                    // The replacement is a voter before the next fault of this kind: see areAllVotersHealthy().
                }
            }
            case 5 -> simulation.stallDisk(replica, random.nextLong(1_500_000));
            case 6 -> {
                simulation.setDiskFull(replica, true);
                simulation.run(random.nextLong(1_000_000));
                simulation.setDiskFull(replica, false);
            }
            case 7 -> simulation.block(replica.address(), anyRunning().address());
            case 8 -> simulation.heal();
            case 9 -> {
                if (areAllVotersHealthy()) {
                    List<Replica> all = simulation.runningReplicas();
                    all.forEach(h -> {
                        if (h == replica) {
                            simulation.wipe(h);
                        } else {
                            simulation.crash(h);
                        }
                    });
                    all.forEach(h -> simulation.start(h.address(), false));
                }
            }
            default -> {}
        }
    }

    protected String checkRecovery() {
        simulation.heal();
        simulation.run(RECOVERY_MICROS);
        long read = simulation.read(anyRunning(), 5_000_000);
        if (!(simulation.await(read) instanceof ProposalResult.Read)) {
            return "no read is answered after all faults are over: " + simulation.result(read);
        }
        simulation.run(2_000_000);
        ReplicatedState first = simulation.runningReplicas().get(0).consensus().committed();
        for (Replica replica : simulation.runningReplicas()) {
            if (!replica.consensus().committed().equals(first)) {
                return replica.address() + " publishes " + replica.consensus().committed() + " and not " + first;
            }
        }
        simulation.checks().requireAtLeast(simulation.checks().requiredItems(), first.configuration(), "published");
        return simulation.checks().violation();
    }
}
