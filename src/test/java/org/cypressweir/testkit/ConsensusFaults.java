package org.cypressweir.testkit;

import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.controlplane.consensus.ReplicatedState;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/**
 * A random fault scenario over three or five replicas with writers and readers: lossy networks, crashes, lost disks,
 * stalled and full disks, partitions, and replaced machines. At most a minority of the voters is down or without its
 * disk at a time, and the state of a lost disk is restored before the next disk is lost.
 */
public class ConsensusFaults {

    private static final int STEPS = 60;
    private static final long MEAN_STEP_MICROS = 150_000;
    private static final long RECOVERY_MICROS = 15_000_000;

    private final SimulatedReplicas world;
    private final SplittableRandom random;
    private final int count;
    private int machines;
    private long versions;

    public ConsensusFaults(long seed) {
        random = new SplittableRandom(seed * 31 + 7);
        count = seed % 3 == 0 ? 5 : 3;
        machines = count;
        world = new SimulatedReplicas(seed, count);
        world.maxDelayMicros = random.nextBoolean() ? 2_000 : 60_000;
        world.lossProbability = random.nextInt(3) * 0.1;
        world.duplicateProbability = random.nextInt(2) * 0.2;
    }

    /** The first violation in so many scenarios, or null. */
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
        return world.checks().accepted();
    }

    /** Runs the scenario; returns the first violation, or null. */
    public String run() {
        world.run(1_000_000);
        for (int step = 0; step < STEPS && world.checks().breach() == null; step++) {
            submitRandomCalls();
            fault();
            world.run(1 + random.nextLong(2 * MEAN_STEP_MICROS));
        }
        if (world.checks().breach() != null) {
            return world.checks().breach();
        }
        return checkRecovery();
    }

    protected SimulatedReplicas world() {
        return world;
    }

    protected Replica anyRunning() {
        List<Replica> up = world.runningReplicas();
        return up.get(random.nextInt(up.size()));
    }

    protected void submitRandomCalls() {
        for (int i = random.nextInt(4); i > 0; i--) {
            if (random.nextInt(3) == 0) {
                world.read(anyRunning(), 100_000 + random.nextLong(2_000_000));
                continue;
            }
            String tenant = "t" + random.nextInt(3);
            versions += random.nextInt(2);
            world.submit(
                    anyRunning(),
                    random.nextInt(6) == 0
                            ? "{\"withdraw\":{\"tenantTable\":[{\"name\":\"" + tenant + "\",\"configVersion\":\"r"
                                    + versions + "\"}]}}"
                            : "{\"upsert\":{\"tenantTable\":{\"" + tenant + "\":{\"apiKeys\":[\"" + tenant
                                    + random.nextInt(100) + "\"],\"configVersion\":\"r" + versions + "\"}}}}",
                    100_000 + random.nextLong(2_000_000));
        }
    }

    /** Whether all replicas run and are voters with their present disks. */
    private boolean areAllVotersHealthy() {
        return world.runningReplicas().size() == count
                && world.runningReplicas().stream().noneMatch(h -> h.consensus().isBlank())
                && world.runningReplicas().stream()
                        .allMatch(h -> h.consensus().voters().size() == count
                                && h.consensus().voters().contains(h.consensus().own()));
    }

    private void fault() {
        Replica replica = anyRunning();
        switch (random.nextInt(14)) {
            case 0, 1 -> {
                world.crash(replica);
                world.start(replica.address(), false);
            }
            case 2 -> {
                if (areAllVotersHealthy()) {
                    world.wipe(replica);
                    world.start(replica.address(), false);
                }
            }
            case 3 -> {
                if (areAllVotersHealthy()) {
                    world.crash(replica);
                    world.run(random.nextLong(2_000_000));
                    world.start(replica.address(), false);
                }
            }
            case 4 -> {
                if (areAllVotersHealthy() && random.nextInt(3) == 0) {
                    world.wipe(replica);
                    world.run(random.nextLong(2_000_000));
                    world.start(++machines);
                    // Replaced machines take part again before the next fault of this kind: see areAllVotersHealthy().
                }
            }
            case 5 -> world.stallDisk(replica, random.nextLong(1_500_000));
            case 6 -> {
                world.setDiskFull(replica, true);
                world.run(random.nextLong(1_000_000));
                world.setDiskFull(replica, false);
            }
            case 7 -> world.block(replica.address(), anyRunning().address());
            case 8 -> world.heal();
            case 9 -> {
                if (areAllVotersHealthy()) {
                    List<Replica> all = world.runningReplicas();
                    all.forEach(h -> {
                        if (h == replica) {
                            world.wipe(h);
                        } else {
                            world.crash(h);
                        }
                    });
                    all.forEach(h -> world.start(h.address(), false));
                }
            }
            default -> {}
        }
    }

    protected String checkRecovery() {
        world.heal();
        world.run(RECOVERY_MICROS);
        long read = world.read(anyRunning(), 5_000_000);
        if (!(world.await(read) instanceof ProposalResult.Read)) {
            return "no read after all faults are over: " + world.result(read);
        }
        world.run(2_000_000);
        ReplicatedState first = world.runningReplicas().get(0).consensus().committed();
        for (Replica replica : world.runningReplicas()) {
            if (!replica.consensus().committed().equals(first)) {
                return replica.address() + " shows " + replica.consensus().committed() + " and not " + first;
            }
        }
        world.checks().requireAtLeast(world.checks().requiredItems(), first.configuration(), "shown");
        return world.checks().breach();
    }
}
