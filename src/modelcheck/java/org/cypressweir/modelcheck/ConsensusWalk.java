package org.cypressweir.modelcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;

/**
 * A bounded model checker of the consensus protocol. It runs the real replicas through all executions of a small
 * {@link ConsensusModel} that differ from the default execution in at most a given number of places, and checks
 * agreement and recovery in each.
 *
 * <p>The search is bounded by deviations, as in delay-bounded scheduling (Emmi, Qadeer, Rakamaric: "Delay-Bounded
 * Scheduling", POPL 2011). In the default execution messages and writes come in the order in which they were sent,
 * and time passes only if nothing is pending. A deviation is one reordered, delayed, lost or duplicated
 * message, one power failure, or the loss of a disk or machine. With a bound of two, each pair of deviations is
 * tried at each pair of steps. Faults of a protocol tend to need few deviations, while the number of executions grows
 * exponentially with the bound.
 *
 * <p>Two things keep the number small. Messages to different replicas are independent, so only messages to one
 * replica are reordered. And an execution ends early if it reaches, after its last deviation, a state that another
 * one has reached at the same step: from there on both are the same.
 */
public final class ConsensusWalk {

    /** Deviations are tried in this many steps from the submission of the changes on. */
    private static final int MAX_STEPS = 70;

    private ConsensusWalk() {}

    /**
     * The result of a walk.
     *
     * @param executions how many executions were run
     * @param states how many different states they came through after their last deviation
     * @param complete whether these were all executions within the bound of deviations
     * @param accepted how many changes the replicas have accepted in all executions together
     * @param violation the first violation and the execution that led to it, or null
     */
    public record Result(long executions, long states, boolean complete, long accepted, String violation) {

        private Result plus(Result other) {
            return new Result(
                    executions + other.executions,
                    states + other.states,
                    complete && other.complete,
                    accepted + other.accepted,
                    other.violation);
        }
    }

    /** Which of the deviations that are possible at a step happens there. */
    private record Choice(int step, int option) {}

    /**
     * Walks the executions of each scenario until one violates a check.
     *
     * @param maxDeviations the bound of deviations in an execution
     * @param maxExecutions in each scenario; if there are more, an even sample of the last level is run
     */
    public static Result walk(int maxDeviations, long maxExecutions) {
        Result total = new Result(0, 0, true, 0, null);
        for (ConsensusScenario scenario : ConsensusScenario.values()) {
            total = total.plus(new Search(scenario).walk(maxDeviations, maxExecutions));
            if (total.violation != null) {
                return total;
            }
        }
        return total;
    }

    /** The first violation of a walk, or the exception that ended it; null if there is none. */
    public static String findViolation(int maxDeviations, long maxExecutions) {
        try {
            return walk(maxDeviations, maxExecutions).violation;
        } catch (RuntimeException | AssertionError e) {
            return e.toString();
        }
    }

    /** Walks each scenario and prints its result. The arguments are the bounds of deviations and of executions. */
    public static void main(String[] args) {
        long startNanos = System.nanoTime();
        String[] bounds = String.join(" ", args).split(" ");
        int maxDeviations = Integer.parseInt(bounds[0]);
        long maxExecutions = Long.parseLong(bounds[1]);
        for (ConsensusScenario scenario : ConsensusScenario.values()) {
            Result result = new Search(scenario).walk(maxDeviations, maxExecutions);
            System.out.println(scenario + ": " + result + ", " + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
        }
    }

    /** The walk over the executions of one scenario, several at a time. */
    private static final class Search {
        private final ConsensusScenario scenario;
        private final Set<Long> seenStates = ConcurrentHashMap.newKeySet();
        private final AtomicReference<String> violation = new AtomicReference<>();
        private final AtomicLong accepted = new AtomicLong();

        Search(ConsensusScenario scenario) {
            this.scenario = scenario;
        }

        /** Runs all executions without a deviation, then all with one, and so on. */
        Result walk(int maxDeviations, long maxExecutions) {
            List<List<Choice>> executions = List.of(List.of());
            long finished = 0;
            for (int deviations = 0; ; deviations++) {
                boolean isLast = deviations == maxDeviations;
                long remaining = maxExecutions - finished;
                boolean isSampled = executions.size() > remaining;
                if (isSampled) {
                    executions = sample(executions, (int) remaining);
                }
                finished += executions.size();
                List<List<Choice>> next = runAll(executions, isLast);
                if (violation.get() != null || isLast || isSampled) {
                    return new Result(
                            finished, seenStates.size(), isLast && !isSampled, accepted.get(), violation.get());
                }
                executions = next;
            }
        }

        /** Takes this many executions at even distances. */
        private static List<List<Choice>> sample(List<List<Choice>> executions, int count) {
            return IntStream.range(0, count)
                    .mapToObj(i -> executions.get((int) ((long) i * executions.size() / count)))
                    .toList();
        }

        /** Runs executions in parallel; returns those with one more deviation than these, in a fixed order. */
        private List<List<Choice>> runAll(List<List<Choice>> executions, boolean isLast) {
            List<List<Choice>> next = new ArrayList<>();
            executions.stream()
                    .parallel()
                    .map(choices -> violation.get() != null
                            ? List.<List<Choice>>of()
                            : successors(choices, run(choices), isLast))
                    .forEachOrdered(next::addAll);
            return next;
        }

        /** Runs one execution; returns how many deviations were possible at each step. */
        private int[] run(List<Choice> choices) {
            ConsensusModel model = new ConsensusModel(scenario);
            model.submitConflictingChanges();
            int[] options = new int[MAX_STEPS];
            int deviationsMade = 0;
            for (int step = 0;
                    step < MAX_STEPS && (!model.areChangesAnswered() || deviationsMade < choices.size());
                    step++) {
                if (deviationsMade == choices.size() && !seenStates.add(model.stateHash(step))) {
                    // Another execution has reached this state with as many deviations left.
                    return options;
                }
                List<ConsensusDeviation> possible = model.deviations();
                options[step] = possible.size();
                if (deviationsMade < choices.size() && choices.get(deviationsMade).step == step) {
                    model.apply(possible.get(choices.get(deviationsMade).option));
                    deviationsMade++;
                } else {
                    model.step();
                }
            }
            check(model, choices);
            return options;
        }

        private void check(ConsensusModel model, List<Choice> choices) {
            try {
                model.checkRecovery();
            } catch (AssertionError e) {
                violation.compareAndSet(null, scenario + " " + choices + ": " + e.getMessage() + ", " + model);
            }
            accepted.addAndGet(model.checks().accepted());
            if (model.checks().violation() != null) {
                violation.compareAndSet(
                        null, scenario + " " + choices + ": " + model.checks().violation());
            }
        }

        /** The executions with one more deviation, at a later step than those chosen. */
        private static List<List<Choice>> successors(List<Choice> choices, int[] options, boolean isLast) {
            List<List<Choice>> successors = new ArrayList<>();
            int firstStep = choices.isEmpty() ? 0 : choices.get(choices.size() - 1).step + 1;
            for (int step = firstStep; step < options.length && !isLast; step++) {
                for (int option = 0; option < options[step]; option++) {
                    List<Choice> successor = new ArrayList<>(choices);
                    successor.add(new Choice(step, option));
                    successors.add(successor);
                }
            }
            return successors;
        }
    }
}
