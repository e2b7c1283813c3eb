package org.cypressweir.modelcheck;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.consensus.ConsensusOptions;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.testkit.ConsensusChecks;
import org.cypressweir.testkit.JsonCopy;

/**
 * Walks through what may happen to three or four replicas while two replicas take different contents for one
 * version: nothing else going on, or a disk just lost, or its successor on the way to be a voter or just let
 * in, or one taken out that returns with its old disk, or one that leaves.
 *
 * <p>Left alone, messages and writes come in the order they were sent, and time passes only where nothing
 * else is left to do. From that order the walk strays: another message or write comes first, one is held
 * back for long, a message is lost or comes twice, a process loses its power with or without what it was
 * writing, a disk is lost, or a machine is lost and another with an empty disk takes its place. Every way of
 * straying so many times is walked, in every place; power is lost once at most. One disk is lost at most, or
 * one more after the one that was lost before, from the moment on at which a voters of three is known with all
 * running.
 *
 * <p>What comes to different replicas is independent. So of what waits one comes first only before something
 * for the same replica; for others the order of what follows from it is strayed from where it matters. Power
 * lost after a write is another way only where there is a write. A copy is a function of what came to it: two
 * ways after which all that had come to each replica, and all that waits, are the same are one from there on.
 */
public final class ConsensusWalk {

    private static final int SEEDS = 3;
    /** With one that waits, and who takes the place of a machine that is lost. */
    private static final int MOST_HARBOURS = 5;
    /** How many of those that wait may come first. */
    private static final int REACH = 4;

    private static final int WINDOW = 70;
    private static final int END = 6_000;
    private static final int HELD_TICKS = 8;
    /** Until it is known that somebody waits to be let in. */
    private static final int TICKS_TO_WAIT = 24;

    private static final long TICK = 50_000;
    private static final long SYNC_TIME = 4_000_000;
    private static final long PATIENCE = 3_000_000;

    private ConsensusWalk() {}

    /** How many ways were walked over how many states, whether all, and the first breach or null. */
    public record Result(long ways, long states, boolean whole, long taken, String breach) {}

    /** What is going on as the orders come: so many machines, and which of them take an order. */
    private enum Scene {
        FRESH(3, 0, 1),
        /** The third has just lost its disk. */
        LEARNING(3, 0, 1),
        /** Its old disk has been taken out, */
        OUT(3, 0, 1),
        /** and the new one has been let in. */
        IN(3, 0, 1),
        STANDBY(4, 0, 1),
        /** The third has been replaced, and returns with its old disk. */
        RETURN(4, 0, 1),
        /** The second tells that it leaves, and is gone for good once it has handed over. */
        LEAVE(4, 0, 2);

        private final int machines;
        private final List<Integer> takers;

        Scene(int machines, int one, int other) {
            this.machines = machines;
            takers = List.of(one, other);
        }
    }

    private record Stray(int step, int option) {}

    private enum Kind {
        FIRST,
        HELD,
        LOST,
        TWICE,
        POWER,
        POWER_AFTER_WRITE,
        DISK,
        MACHINE,
        RETURN,
        END
    }

    private record Option(Kind kind, int which) {}

    private record Act(int to, long incarnation, long write, String from, Map<String, Object> message, long print) {}

    private static long mix(long a, long b) {
        long mixed = (a ^ Long.rotateLeft(b, 31)) * 0x9E3779B97F4A7C15L;
        return mixed ^ mixed >>> 29;
    }

    private static long print(String text) {
        long print = text.length();
        for (int i = 0; i < text.length(); i++) {
            print = (print ^ text.charAt(i)) * 0x100000001B3L;
        }
        return print;
    }

    private static final class World {
        final Scene scene;
        final ConsensusReplica[] copies = new ConsensusReplica[MOST_HARBOURS];
        final PersistentState[] disks = new PersistentState[MOST_HARBOURS];
        final Effect.Write[] writing = new Effect.Write[MOST_HARBOURS];
        final long[] incarnations = new long[MOST_HARBOURS];
        final List<Act> waiting = new ArrayList<>();
        final List<Act> held = new ArrayList<>();
        final ConsensusChecks checks = new ConsensusChecks();
        final Map<Long, ProposalResult> results = new HashMap<>();
        long now = 1_000_000;
        int ticks;
        /** A print of all that has come to each replica, in order. */
        final long[] past = new long[MOST_HARBOURS];

        boolean powerLost;
        boolean diskLost;
        /** Whether the second has told that it leaves, and was not started again since. */
        boolean leaving;
        /** One that said so and was started again counts as lost for as long as users count it so. */
        long countsFrom;
        /** The voters of the highest state that was shown by any. */
        List<String> decided =
                IntStream.range(0, SEEDS).mapToObj(World::address).toList();

        ProposalNumber top = ProposalNumber.ZERO;

        World(Scene scene) {
            this.scene = scene;
            for (int i = 0; i < scene.machines; i++) {
                start(i, true);
            }
            calm();
            switch (scene) {
                case LEARNING, OUT, IN -> {
                    disks[2] = null;
                    start(2, false);
                    until(() -> scene == Scene.LEARNING || decided.size() < SEEDS);
                    until(() -> scene != Scene.IN || decided.size() == SEEDS);
                }
                case RETURN -> {
                    copies[2] = null;
                    writing[2] = null;
                    until(() -> decided.contains(copies[3].own()));
                }
                case STANDBY -> until(() -> ticks > TICKS_TO_WAIT);
                case LEAVE -> {
                    until(() -> ticks > TICKS_TO_WAIT);
                    leaving = true;
                    act(1, copies[1].leave(now));
                }
                default -> {}
            }
        }

        private void until(BooleanSupplier holds) {
            for (int i = 0; i < END && !holds.getAsBoolean(); i++) {
                step();
            }
            if (!holds.getAsBoolean()) {
                throw new AssertionError("never came to " + scene);
            }
        }

        private void calm() {
            while (!waiting.isEmpty()) {
                step();
            }
        }

        static String address(int i) {
            return "h" + (i + 1);
        }

        private void came(int i, long what) {
            past[i] = mix(past[i], mix(what, now));
        }

        /** Worlds with the same print go on alike. */
        long stateAt(int step) {
            long print = mix(step, now);
            for (long each : past) {
                print = mix(print, each);
            }
            for (Act act : waiting) {
                print = mix(print, act.print);
            }
            print = mix(print, held.size());
            for (Act act : held) {
                print = mix(print, act.print);
            }
            return mix(print, ticks);
        }

        void start(int i, boolean initial) {
            incarnations[i]++;
            copies[i] = new ConsensusReplica(
                    ConsensusOptions.usual(),
                    address(i),
                    IntStream.range(0, SEEDS).mapToObj(World::address).toList(),
                    initial,
                    disks[i],
                    incarnations[i],
                    new SplittableRandom(i + 31 * incarnations[i]),
                    now);
            checks.started(address(i));
            act(i, copies[i].start(now));
        }

        void act(int i, List<Effect> effects) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    int to = send.to().charAt(1) - '1';
                    waiting.add(new Act(
                            to,
                            0,
                            0,
                            copies[i].own(),
                            JsonCopy.map(send.message()),
                            mix(to * 8L + i, ConsensusWalk.print(send.message().toString()))));
                } else if (effect instanceof Effect.Write write) {
                    writing[i] = write;
                    waiting.add(new Act(
                            i,
                            incarnations[i],
                            write.number(),
                            null,
                            null,
                            mix(mix(~i, incarnations[i]), write.number())));
                } else if (effect instanceof Effect.Answer answer) {
                    results.put(answer.proposalId(), answer.result());
                    checks.answered(answer.proposalId(), answer.result());
                } else if (effect instanceof Effect.Show show) {
                    checks.shown(address(i), show);
                    if (show.number().compareTo(top) > 0) {
                        top = show.number();
                        decided = show.voters();
                    }
                }
            }
        }

        void play(Act act) {
            if (copies[act.to] == null) {
                return;
            }
            came(act.to, act.print);
            if (act.message != null) {
                act(act.to, copies[act.to].received(now, act.from, act.message));
            } else if (act.incarnation == incarnations[act.to]) {
                disks[act.to] = writing[act.to].change().on(disks[act.to]);
                writing[act.to] = null;
                act(act.to, copies[act.to].written(now, act.write, true));
            }
        }

        void step() {
            if (!waiting.isEmpty()) {
                play(waiting.remove(0));
                return;
            }
            now += TICK;
            for (int i = 0; i < copies.length; i++) {
                if (copies[i] != null) {
                    came(i, -1);
                    act(i, copies[i].tick(now));
                }
            }
            if (++ticks % HELD_TICKS == 0) {
                waiting.addAll(held);
                held.clear();
            }
        }

        List<Option> options() {
            List<Option> options = new ArrayList<>();
            for (int i = 1; i <= REACH && i < waiting.size(); i++) {
                int to = waiting.get(i).to;
                if (waiting.subList(0, i).stream().anyMatch(before -> before.to == to)) {
                    options.add(new Option(Kind.FIRST, i));
                }
            }
            if (!waiting.isEmpty()) {
                options.add(new Option(Kind.HELD, 0));
                if (waiting.get(0).message != null) {
                    options.add(new Option(Kind.LOST, 0));
                    options.add(new Option(Kind.TWICE, 0));
                }
            }
            if (scene == Scene.RETURN && copies[2] == null && disks[2] != null) {
                options.add(new Option(Kind.RETURN, 2));
            }
            if (leaving && copies[1] != null && copies[1].handedOver()) {
                options.add(new Option(Kind.END, 1));
            }
            boolean mayLose = !diskLost && whole();
            for (int i = 0; i < scene.machines; i++) {
                if (copies[i] == null) {
                    continue;
                }
                if (!powerLost) {
                    options.add(new Option(Kind.POWER, i));
                    if (writing[i] != null) {
                        options.add(new Option(Kind.POWER_AFTER_WRITE, i));
                    }
                }
                if (mayLose) {
                    options.add(new Option(Kind.DISK, i));
                    options.add(new Option(Kind.MACHINE, i));
                }
            }
            return options;
        }

        void stray(Option option) {
            switch (option.kind) {
                case FIRST -> play(waiting.remove(option.which));
                case HELD -> held.add(waiting.remove(0));
                case LOST -> waiting.remove(0);
                case TWICE -> {
                    held.add(waiting.get(0));
                    play(waiting.remove(0));
                }
                default -> strike(option.kind, option.which);
            }
        }

        /** A replica loses power without what it writes, or right after it, its disk, or all. */
        private void strike(Kind kind, int i) {
            came(i, -2 - kind.ordinal());
            if (leaving && i == 1) {
                leaving = false;
                countsFrom = now + SYNC_TIME;
            }
            powerLost |= kind == Kind.POWER || kind == Kind.POWER_AFTER_WRITE;
            if (kind == Kind.POWER_AFTER_WRITE) {
                disks[i] = writing[i].change().on(disks[i]);
            } else if (kind == Kind.DISK || kind == Kind.MACHINE) {
                diskLost = true;
                disks[i] = null;
            }
            writing[i] = null;
            if (scene.takers.contains(i)) {
                results.putIfAbsent(1L + scene.takers.indexOf(i), new ProposalResult.Unavailable("lost power"));
            }
            if (kind == Kind.MACHINE) {
                copies[i] = null;
                start(MOST_HARBOURS - 1, false);
            } else if (kind == Kind.END) {
                copies[i] = null;
                disks[i] = null;
            } else {
                start(i, false);
            }
        }

        @Override
        public String toString() {
            return Arrays.stream(copies)
                    .filter(Objects::nonNull)
                    .map(c -> c.own() + " has " + c.committed().number() + " voters " + c.voters())
                    .toList()
                    .toString();
        }

        /** Whether a voters of three is known to be decided, and all of it runs and stays. */
        boolean whole() {
            Set<String> running = new HashSet<>();
            Arrays.stream(copies).filter(Objects::nonNull).forEach(c -> running.add(c.own()));
            if (leaving || now < countsFrom) {
                running.remove(address(1));
            }
            return decided.size() == SEEDS && running.containsAll(decided);
        }

        void submit(int i, long proposalId, String key) {
            ConfigurationChange order = key == null
                    ? null
                    : ConfigurationChange.read(("{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"" + key
                                            + "\"],\"configVersion\":\"r1\"}}}}")
                                    .getBytes(StandardCharsets.UTF_8))
                            .get();
            checks.sent(proposalId, order);
            act(i, copies[i].submit(now, proposalId, order, now + PATIENCE));
        }
    }

    /** Plays one way; tells for each step how many options there were. */
    private static int[] play(
            Scene scene, List<Stray> strays, Set<Long> seen, AtomicReference<String> breach, AtomicLong taken) {
        World world = new World(scene);
        world.submit(scene.takers.get(0), 1, "a");
        world.submit(scene.takers.get(1), 2, "b");
        int[] options = new int[WINDOW];
        int next = 0;
        for (int step = 0; step < WINDOW && (world.results.size() < 2 || next < strays.size()); step++) {
            if (next == strays.size() && !seen.add(world.stateAt(step))) {
                // Another way has come here, and could stray as often from here on.
                return options;
            }
            List<Option> possible = world.options();
            options[step] = possible.size();
            if (next < strays.size() && strays.get(next).step == step) {
                world.stray(possible.get(strays.get(next++).option));
            } else {
                world.step();
            }
        }
        try {
            end(world);
        } catch (AssertionError e) {
            breach.compareAndSet(null, scene + " " + strays + ": " + e.getMessage() + ", " + world);
        }
        taken.addAndGet(world.checks.taken());
        if (world.checks.breach() != null) {
            breach.compareAndSet(null, scene + " " + strays + ": " + world.checks.breach());
        }
        return options;
    }

    /** All is well again: whoever asks finds what was agreed, at every replica of the voters. */
    private static void end(World world) {
        long well = world.now + PATIENCE + HELD_TICKS * TICK;
        while (world.now < well) {
            world.step();
        }
        world.until(world::whole);
        world.now += TICK;
        long proposalId = 2;
        for (int i = 0; i < world.copies.length; i++) {
            if (world.copies[i] != null && world.copies[i].voters().contains(world.copies[i].own())) {
                world.submit(i, ++proposalId, null);
                for (int step = 0; step < END && !world.results.containsKey(proposalId); step++) {
                    world.step();
                }
                if (!(world.results.get(proposalId) instanceof ProposalResult.Read)) {
                    throw new AssertionError("all is well, but there is no read: " + world.results);
                }
            }
        }
        if (proposalId < 4) {
            throw new AssertionError("too few take themselves to count");
        }
    }

    /** Walks all ways that stray so often in each scene, at most so many. */
    public static Result walk(int strays, long most) {
        Result all = new Result(0, 0, true, 0, null);
        for (Scene scene : Scene.values()) {
            Result one = walk(scene, strays, most);
            all = new Result(
                    all.ways + one.ways,
                    all.states + one.states,
                    all.whole && one.whole,
                    all.taken + one.taken,
                    one.breach);
            if (one.breach != null) {
                return all;
            }
        }
        return all;
    }

    private static Result walk(Scene scene, int strays, long most) {
        AtomicReference<String> breach = new AtomicReference<>();
        AtomicLong taken = new AtomicLong();
        Set<Long> seen = ConcurrentHashMap.newKeySet();
        List<List<Stray>> ways = List.of(List.of());
        long walked = 0;
        for (int depth = 0; ; depth++) {
            boolean last = depth == strays;
            long left = most - walked;
            boolean cut = ways.size() > left;
            if (cut) {
                // Those left out are spread evenly.
                List<List<Stray>> all = ways;
                ways = IntStream.range(0, (int) left)
                        .mapToObj(i -> all.get((int) ((long) i * all.size() / left)))
                        .toList();
            }
            walked += ways.size();
            List<List<Stray>> next = new ArrayList<>();
            ways.stream()
                    .parallel()
                    .map(way -> breach.get() != null
                            ? List.<List<Stray>>of()
                            : further(way, play(scene, way, seen, breach, taken), last))
                    .forEachOrdered(next::addAll);
            if (breach.get() != null || last || cut) {
                return new Result(walked, seen.size(), last && !cut, taken.get(), breach.get());
            }
            ways = next;
        }
    }

    private static List<List<Stray>> further(List<Stray> way, int[] options, boolean last) {
        List<List<Stray>> further = new ArrayList<>();
        int from = way.isEmpty() ? 0 : way.get(way.size() - 1).step + 1;
        for (int step = from; step < options.length && !last; step++) {
            for (int option = 0; option < options[step]; option++) {
                List<Stray> longer = new ArrayList<>(way);
                longer.add(new Stray(step, option));
                further.add(longer);
            }
        }
        return further;
    }

    /** How the small world is broken, or null. */
    public static String broken(int strays, long most) {
        try {
            return walk(strays, most).breach;
        } catch (RuntimeException | AssertionError e) {
            return e.toString();
        }
    }

    /** How often to stray, and how many ways at most. */
    public static void main(String[] args) {
        long begun = System.nanoTime();
        String[] given = String.join(" ", args).split(" ");
        for (Scene scene : Scene.values()) {
            System.out.println(scene + ": "
                    + walk(scene, Integer.parseInt(given[0]), Long.parseLong(given[1])) + ", "
                    + (System.nanoTime() - begun) / 1_000_000 + " ms");
        }
    }
}
