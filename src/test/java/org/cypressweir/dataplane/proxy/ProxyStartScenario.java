package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.consensus.ReplicatedState;
import org.cypressweir.testkit.SimulatedReplicas;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/**
 * A pilot starts in the middle of drawn cuts, in made-up time: it is told states and asks who confirms them,
 * over paths that hold words up. What it begins with as confirmed must have all that was answered 200 before.
 */
public final class ProxyStartScenario {

    private static final long STEP = 10_000;
    private static final long PATIENCE = 3_000_000;
    private static final long TOLD = 600_000;
    private static final int ALL = 4;

    private record Word(long at, Runnable comes) {}

    private final SplittableRandom random;
    private final SimulatedReplicas world;
    private final ReadinessGate freshness = new ReadinessGate();
    private final List<Word> words = new ArrayList<>();
    private final List<Integer> reached = new ArrayList<>();
    private final long holdsUp;
    private ReplicatedState own;
    private long version;

    private ProxyStartScenario(long seed) {
        random = new SplittableRandom(seed);
        world = new SimulatedReplicas(seed, 3);
        holdsUp = random.nextBoolean() ? random.nextLong(2_000_000) : 0;
    }

    /** The first breach in so many starts, or null. */
    public static String broken(int starts) {
        int confirmed = 0;
        for (long seed = 0; seed < starts; seed++) {
            ProxyStartScenario one = new ProxyStartScenario(seed);
            String breach = one.run();
            if (breach != null) {
                return "seed " + seed + ": " + breach;
            }
            confirmed += one.freshness.isConfirmed() ? 1 : 0;
        }
        return confirmed * 4 > starts && confirmed < starts
                ? null
                : confirmed + " of " + starts + " begin with what is confirmed";
    }

    private void order() {
        Replica at = world.replica(1 + random.nextInt(3));
        world.submit(
                at,
                "{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"k\"],\"configVersion\":\"r" + ++version + "\"}}}}",
                850_000);
    }

    /** All three hear each other, or one of them is cut off. */
    private int cut() {
        int off = random.nextInt(4);
        int ways = 1 + random.nextInt(3);
        for (int i = 1; i <= 3 && off > 0; i++) {
            if (i != off && (ways & 1) != 0) {
                world.cut(world.replica(off).address(), world.replica(i).address());
            }
            if (i != off && (ways & 2) != 0) {
                world.cut(world.replica(i).address(), world.replica(off).address());
            }
        }
        return off;
    }

    /** Nobody hears anybody any more, and one has begun anew. */
    private void cutAll() {
        for (int i = 1; i <= 3; i++) {
            for (int j = 1; j <= 3; j++) {
                world.cut(world.replica(i).address(), world.replica(j).address());
            }
        }
        int again = 1 + random.nextInt(3);
        world.crash(world.replica(again));
        world.start(again);
        world.run(3_000_000);
    }

    private void later(Runnable comes) {
        words.add(new Word(world.now() + holdsUp + random.nextLong(STEP), comes));
    }

    private void ask(int harbour, long asked) {
        later(() -> {
            Replica its = world.replica(harbour);
            ReplicatedState shown = its.consensus().committed();
            long age = its.consensus().confirmedAge(world.now());
            later(() -> {
                // The state comes with the answer, later, or not at all for now.
                if (random.nextInt(3) > 0 && (own == null || shown.number().compareTo(own.number()) > 0)) {
                    own = shown;
                }
                freshness.answered(world.now(), "h" + harbour, asked, shown.number(), age);
            });
        });
    }

    private String run() {
        world.run(1_000_000);
        order();
        world.run(1_000_000);
        int off = cut();
        for (int i = random.nextInt(20); i >= 0; i--) {
            order();
            world.run(random.nextLong(400_000));
        }
        if (off > 0 && random.nextInt(3) == 0) {
            off = ALL;
            cutAll();
        }
        for (int i = 1; i <= 3; i++) {
            if (random.nextBoolean()) {
                reached.add(i);
            }
        }
        long began = world.now();
        long had = -1;
        while (world.now() < began + PATIENCE + TOLD) {
            if (random.nextInt(8) == 0) {
                order();
            }
            world.run(STEP);
            long now = world.now();
            for (Word word : List.copyOf(words)) {
                if (word.at <= now) {
                    words.remove(word);
                    word.comes.run();
                }
            }
            if (freshness.asks(now)) {
                reached.forEach(harbour -> ask(harbour, now));
            }
            had = had < 0 && own != null && own.number().round() > 0 ? now : had;
            if (own != null && freshness.begins(now, own.number(), PATIENCE)) {
                return begun(now, had, began, off);
            }
        }
        return own == null || own.number().round() == 0 || now() < had + PATIENCE ? null : "never begins";
    }

    private long now() {
        return world.now();
    }

    private String begun(long now, long had, long began, int off) {
        if (freshness.isConfirmed()) {
            world.checks().confirmed("the pilot", now - ReadinessGate.MOST_AGE, own.configuration());
        } else if (now < had + PATIENCE) {
            return "begins after " + (now - had) + " us with what nobody confirms";
        } else if (holdsUp == 0 && off != ALL && reached.stream().anyMatch(harbour -> harbour != off)) {
            return "waits though one that it reaches is in contact";
        }
        return world.checks().breach();
    }
}
