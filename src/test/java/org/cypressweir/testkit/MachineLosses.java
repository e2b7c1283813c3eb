package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/**
 * Harbours under orders: as many machines as may be lost are lost at once, successors with empty disks start,
 * and at some moment after the time that users give them as many others are lost for good.
 */
public final class MachineLosses {

    private static final long SYNC_TIME = 4_000_000;
    private static final long MOST_AFTER_RETURN = 1_500_000;
    private static final long STEP = 20_000;
    private static final long ORDER_EVERY = 100_000;
    private static final long PATIENCE = 3_000_000;

    private final SplittableRandom random;
    private final SimulatedReplicas world;
    private final int count;
    private final int standbys;
    private long orders;
    private long orderAt;

    /** @param standbys how many more machines wait to be let in from the beginning */
    public MachineLosses(long seed, int count, int standbys) {
        random = new SplittableRandom(seed * 31 + count);
        this.count = count;
        this.standbys = standbys;
        world = new SimulatedReplicas(seed, count);
        world.mostDelay = 1 + random.nextLong(30_000);
        world.mostWrite = 1 + random.nextLong(20_000);
        for (int i = 1; i <= standbys; i++) {
            world.start(count + i);
        }
        pass(3_000_000);
    }

    /** The first breach in so many days of five and three, or null. */
    public static String broken(int days) {
        for (long seed = 0; seed < days; seed++) {
            String of5 = new MachineLosses(seed, 5, 0).secondLoss();
            String breach = of5 != null ? of5 : new MachineLosses(seed, 3, 1).secondLoss();
            long until = new MachineLosses(seed, 3, 0).untilThreeVote(true);
            if (breach != null || until < 0 || until > MOST_AFTER_RETURN) {
                return "seed " + seed + ": " + breach + ", three vote after " + until;
            }
        }
        return null;
    }

    private void pass(long micros) {
        for (long until = world.now() + micros; world.now() < until; ) {
            step();
        }
    }

    private void step() {
        if (world.now() >= orderAt) {
            orderAt = world.now() + ORDER_EVERY;
            List<Replica> up = world.up();
            world.submit(up.get(random.nextInt(up.size())), order(), PATIENCE);
        }
        world.run(STEP);
    }

    private String order() {
        return "{\"upsert\":{\"tenantTable\":{\"t" + orders % 7 + "\":{\"apiKeys\":[\"k" + orders
                + "\"],\"configVersion\":\"r" + ++orders + "\"}}}}";
    }

    private List<Replica> draw(int many) {
        List<Replica> up = new ArrayList<>(world.up());
        List<Replica> drawn = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            drawn.add(up.remove(random.nextInt(up.size())));
        }
        return drawn;
    }

    /** Loses the voters drawn, and starts a machine for each, there or elsewhere. */
    private void replaced(List<Replica> lost, int from) {
        boolean sameAddress = random.nextBoolean();
        lost.forEach(world::wipe);
        pass(random.nextLong(6_000_000));
        for (int i = 0; i < lost.size(); i++) {
            world.start(sameAddress ? lost.get(i).address() : "10.0.0." + (from + i) + ":7", false);
        }
    }

    /** What is wrong after the second loss, or null. */
    public String secondLoss() {
        int many = (count - 1) / 2;
        replaced(draw(many), count + standbys + 1);
        pass(SYNC_TIME + random.nextLong(3_000_000));
        draw(many).forEach(world::wipe);
        pass(1_000_000);
        ProposalResult answer = null;
        for (int i = 0; i < 20 && !(answer instanceof ProposalResult.Taken); i++) {
            List<Replica> up = world.up();
            answer = world.await(world.submit(up.get(i % up.size()), order(), 1_000_000));
        }
        if (!(answer instanceof ProposalResult.Taken)) {
            return "no order is taken any more: " + answer;
        }
        return world.checks().breach();
    }

    /**
     * How long it takes after the loss of one until three members hold what is agreed; below 0: never, or not
     * one change of the voters after the other.
     */
    public long untilThreeVote(boolean returnsBlank) {
        Replica lost = world.replica(1 + random.nextInt(count));
        long at = world.now();
        world.wipe(lost);
        if (returnsBlank) {
            world.start(lost.address(), false);
        }
        while (world.now() - at < 20_000_000) {
            step();
            for (Replica one : world.up()) {
                List<String> voters = one.consensus().committed().voters();
                long voting = world.up().stream()
                        .filter(h -> voters.contains(h.consensus().own())
                                && h.disk() != null
                                && h.disk().voters().equals(voters))
                        .count();
                if (voting == count && !voters.contains(lost.address())) {
                    return world.checks().leaps() ? -1 : world.now() - at;
                }
            }
        }
        return -1;
    }
}
