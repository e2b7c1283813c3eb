package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Assertions;

/**
 * A random schedule of faults of sidecar processes and of the network between them. Faults are injected one at a time,
 * and after each one all processes must see all others again. For faults that must not change any view of the
 * membership, the events that the processes have recorded are checked as well.
 */
public final class FaultSchedule {

    /** The kinds of faults. */
    public enum Kind {
        /** A process is suspended for less time than it takes to be declared failed. */
        SHORT_STOP,
        /** A process is suspended until the others have removed it. */
        LONG_STOP,
        /** A process is killed and started again. */
        KILL,
        /** Datagrams from one process to another are lost. */
        ONE_WAY,
        /** Datagrams between two processes are lost in both directions. */
        PAIR,
        /** All datagrams from one process are lost. */
        MUTE,
        /** All datagrams to one process are lost. */
        DEAF,
        /** The processes are partitioned into two or three groups. */
        SPLIT,
        /** Some datagrams are lost, duplicated, delayed or corrupted. */
        LOSS
    }

    /**
     * One fault.
     *
     * @param one the process that it affects
     * @param other the second process, for faults between two
     * @param groups the group of each process, for a split
     * @param millis how long it lasts, for kinds that do not end on a condition
     */
    public record Step(Kind kind, int one, int other, List<Integer> groups, long millis) {}

    private static final long START_MILLIS = 20_000;

    private final SidecarProcesses processes;
    private final long pause;
    private final Set<Integer> all;

    public FaultSchedule(SidecarProcesses processes, long pauseMillis) {
        this.processes = processes;
        pause = pauseMillis;
        all = IntStream.range(0, processes.size()).boxed().collect(Collectors.toSet());
    }

    /**
     * Generates random faults. The first two processes are the seeds, so that one of them can be reached while a fault
     * affects the other.
     */
    public static List<Step> generate(long seed, int members, int steps, long pauseMillis) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> schedule = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            int one = random.nextInt(members);
            int other = (one + 1 + random.nextInt(members - 1)) % members;
            int parts = 2 + random.nextInt(2);
            List<Integer> groups = new ArrayList<>();
            for (int m = 0; m < members; m++) {
                // Each group has at least one member. Processes 0 and 1 are the seeds, so a third group has no seed:
                // it has to be rejoined by the probes that the others send to members they have lost.
                groups.add(m < parts ? m : random.nextInt(parts));
            }
            long millis = kind == Kind.SHORT_STOP ? 100 + random.nextLong(pauseMillis * 6 / 10) : 2 * pauseMillis;
            schedule.add(new Step(kind, one, other, List.copyOf(groups), millis));
        }
        return schedule;
    }

    /** The time until a failure is detected and all members know of it. */
    private long detectionMillis() {
        return 3 * pause + 1_000;
    }

    private void awaitAllSeeAll(String what, long millis) throws Exception {
        awaitViews(all, all, what, millis);
    }

    private void awaitViews(Set<Integer> among, Set<Integer> on, String what, long millis) throws Exception {
        processes.await(
                millis,
                what,
                () -> processes.see(on.size(), among.stream().mapToInt(i -> i).toArray()));
    }

    private static Set<Integer> without(Set<Integer> all, int one) {
        Set<Integer> rest = new HashSet<>(all);
        rest.remove(one);
        return rest;
    }

    private void sleepFor(Step step) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(step.millis);
    }

    /**
     * Checks that no process has recorded the removal or the leaving of a member since then. Events that the exempt
     * processes recorded, or that are about them, do not count.
     */
    private void assertNoMemberEnded(long since, String what, Set<String> but) throws Exception {
        List<SidecarProcesses.Event> ends = processes.history().stream()
                .filter(e -> e.mono() > since
                        && (e.event().equals("out") || e.event().equals("left"))
                        && !but.contains(e.about())
                        && !but.contains(e.process()))
                .toList();
        Assertions.assertEquals(List.of(), ends, () -> what + "\n" + processes.logs());
    }

    /** Injects one fault, ends it, and checks what the processes make of it. */
    public void run(Step step) throws Exception {
        long startMicros = System.nanoTime() / 1_000;
        String what = step.toString();
        Set<Integer> rest = without(all, step.one);
        Set<String> none = Set.of();
        Set<String> its = Set.of(SidecarProcesses.name(step.one));
        switch (step.kind) {
            case SHORT_STOP -> {
                processes.signal(step.one, "STOP");
                sleepFor(step);
                processes.signal(step.one, "CONT");
                TimeUnit.MILLISECONDS.sleep(pause);
                assertNoMemberEnded(startMicros, what, none);
            }
            case LONG_STOP -> {
                processes.signal(step.one, "STOP");
                awaitViews(rest, rest, what, detectionMillis());
                processes.signal(step.one, "CONT");
                awaitAllSeeAll(what + " is over", detectionMillis());
                assertNoMemberEnded(startMicros, what, its);
            }
            case KILL -> {
                processes.kill(step.one);
                awaitViews(rest, rest, what, detectionMillis());
                processes.start(step.one);
                awaitAllSeeAll(what + " is over", START_MILLIS);
                assertNoMemberEnded(startMicros, what, its);
            }
            case ONE_WAY, PAIR -> {
                boolean both = step.kind == Kind.PAIR;
                processes.relay.setLinkFilter((from, to) ->
                        !(from == step.one && to == step.other) && !(both && from == step.other && to == step.one));
                sleepFor(step);
                processes.relay.setLinkFilter((from, to) -> true);
                assertNoMemberEnded(startMicros, what, none);
            }
            case MUTE, DEAF -> {
                processes.relay.setLinkFilter((from, to) -> step.kind == Kind.MUTE ? from != step.one : to != step.one);
                awaitViews(rest, rest, what, detectionMillis());
                awaitViews(Set.of(step.one), Set.of(step.one), what, detectionMillis());
                processes.relay.setLinkFilter((from, to) -> true);
                awaitAllSeeAll(what + " is over", detectionMillis());
                assertNoMemberEnded(startMicros, what, its);
            }
            case SPLIT -> {
                processes.relay.setLinkFilter(
                        (from, to) -> step.groups.get(from).equals(step.groups.get(to)));
                for (int part : Set.copyOf(step.groups)) {
                    Set<Integer> side =
                            all.stream().filter(i -> step.groups.get(i) == part).collect(Collectors.toSet());
                    awaitViews(side, side, what, detectionMillis() + pause);
                }
                long healed = System.nanoTime() / 1_000;
                processes.relay.setLinkFilter((from, to) -> true);
                awaitAllSeeAll(what + " is over", detectionMillis());
                assertNoMemberEnded(healed, what, none);
            }
            case LOSS -> {
                processes.relay.setImpairment(new DatagramRelay.Impairment(0.2, 0.1, 0.1, 100, 0.02));
                sleepFor(step);
                processes.relay.setImpairment(DatagramRelay.Impairment.NONE);
                assertNoMemberEnded(startMicros, what, none);
            }
            default -> throw new IllegalStateException(what);
        }
        awaitAllSeeAll(what + ": all processes see all others", detectionMillis());
    }
}
