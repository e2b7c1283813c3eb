package org.cypressweir.testkit;

import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.controlplane.consensus.ReplicatedState;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/**
 * A day of writers and readers at three or five replicas, with lossy networks, crashes, lost disks, stalled
 * and full ones, cuts, and replaced machines. Of a voters no more than a minority is without its disk or down
 * at a time, and a lost disk is made good before the next is lost.
 */
public class ConsensusFaults {

    private static final int STEPS = 60;
    private static final long STEP = 150_000;
    private static final long HEALED = 15_000_000;

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
        world.mostDelay = random.nextBoolean() ? 2_000 : 60_000;
        world.loss = random.nextInt(3) * 0.1;
        world.doubled = random.nextInt(2) * 0.2;
    }

    /** The first breach in so many days, or null. */
    public static String broken(int days) {
        for (long seed = 0; seed < days; seed++) {
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

    public int taken() {
        return world.checks().taken();
    }

    /** What is wrong, or null. */
    public String run() {
        world.run(1_000_000);
        for (int step = 0; step < STEPS && world.checks().breach() == null; step++) {
            ask();
            fault();
            world.run(1 + random.nextLong(2 * STEP));
        }
        if (world.checks().breach() != null) {
            return world.checks().breach();
        }
        return healed();
    }

    protected SimulatedReplicas world() {
        return world;
    }

    protected Replica any() {
        List<Replica> up = world.up();
        return up.get(random.nextInt(up.size()));
    }

    protected void ask() {
        for (int i = random.nextInt(4); i > 0; i--) {
            if (random.nextInt(3) == 0) {
                world.read(any(), 100_000 + random.nextLong(2_000_000));
                continue;
            }
            String tenant = "t" + random.nextInt(3);
            versions += random.nextInt(2);
            world.submit(
                    any(),
                    random.nextInt(6) == 0
                            ? "{\"withdraw\":{\"tenantTable\":[{\"name\":\"" + tenant + "\",\"configVersion\":\"r"
                                    + versions + "\"}]}}"
                            : "{\"upsert\":{\"tenantTable\":{\"" + tenant + "\":{\"apiKeys\":[\"" + tenant
                                    + random.nextInt(100) + "\"],\"configVersion\":\"r" + versions + "\"}}}}",
                    100_000 + random.nextLong(2_000_000));
        }
    }

    /** Whether all are up and have a disk that counts. */
    private boolean whole() {
        return world.up().size() == count
                && world.up().stream().noneMatch(h -> h.consensus().isBlank())
                && world.up().stream()
                        .allMatch(h -> h.consensus().voters().size() == count
                                && h.consensus().voters().contains(h.consensus().own()));
    }

    private void fault() {
        Replica replica = any();
        switch (random.nextInt(14)) {
            case 0, 1 -> {
                world.crash(replica);
                world.start(replica.address(), false);
            }
            case 2 -> {
                if (whole()) {
                    world.wipe(replica);
                    world.start(replica.address(), false);
                }
            }
            case 3 -> {
                if (whole()) {
                    world.crash(replica);
                    world.run(random.nextLong(2_000_000));
                    world.start(replica.address(), false);
                }
            }
            case 4 -> {
                if (whole() && random.nextInt(3) == 0) {
                    world.wipe(replica);
                    world.run(random.nextLong(2_000_000));
                    world.start(++machines);
                    // Replaced machines take part again before the next fault of this kind: see whole().
                }
            }
            case 5 -> world.stall(replica, random.nextLong(1_500_000));
            case 6 -> {
                world.full(replica, true);
                world.run(random.nextLong(1_000_000));
                world.full(replica, false);
            }
            case 7 -> world.cut(replica.address(), any().address());
            case 8 -> world.heal();
            case 9 -> {
                if (whole()) {
                    List<Replica> all = world.up();
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

    protected String healed() {
        world.heal();
        world.run(HEALED);
        long read = world.read(any(), 5_000_000);
        if (!(world.await(read) instanceof ProposalResult.Read)) {
            return "no read after all is well: " + world.result(read);
        }
        world.run(2_000_000);
        ReplicatedState first = world.up().get(0).consensus().committed();
        for (Replica replica : world.up()) {
            if (!replica.consensus().committed().equals(first)) {
                return replica.address() + " shows " + replica.consensus().committed() + " and not " + first;
            }
        }
        world.checks().above(world.checks().floor(), first.configuration(), "shown");
        return world.checks().breach();
    }
}
