package org.cypressweir.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.fleet.membership.ShareClaim;
import org.cypressweir.fleet.membership.ShareVoter;
import org.cypressweir.fleet.membership.ShareVoter.Grant;

/**
 * Exhaustive state exploration (model checking) of a small fleet of processes that request shares from voters.
 * Processes take turns in a fixed order; a process has a turn every half hold time. In its turn a process sends a
 * request to every voter. For each voter the request is lost, the response is lost, the response arrives immediately,
 * or it arrives at the process's next turn. Voters and processes may restart a limited number of times; a restarted
 * process has a new incarnation. After each turn and right before the next one, all shares are added up. States that
 * differ only in the order of the voters count as one.
 */
public final class ShareWalk {

    /** Hold time in ticks of the exploration; the release time is 2.2 hold times. */
    private static final long HOLD_TICKS = 120;

    private static final long TURN_TICKS = HOLD_TICKS / 2;

    /** Size of the fleet, and which faults are explored. */
    record WorldParameters(int processes, int voters, boolean lateAnswers, int maxRestarts) {}

    /** Result of an exploration: states and transitions visited, and the history of the first violation or null. */
    record Result(long states, long steps, boolean complete, double maxTotalShare, String breach) {}

    private record Answer(int voter, long requestedAt, Grant grant) {}

    private static final class World {
        final WorldParameters parameters;
        long now;
        int turn;
        int restartsLeft;
        final int[] incarnations;
        final ShareClaim[] requests;
        final ShareVoter[] voters;
        final List<List<Answer>> lateAnswersByProcess = new ArrayList<>();
        World previous;
        String step = "start";

        World(WorldParameters parameters) {
            this.parameters = parameters;
            restartsLeft = parameters.maxRestarts;
            incarnations = new int[parameters.processes];
            requests = new ShareClaim[parameters.processes];
            voters = new ShareVoter[parameters.voters];
            for (int process = 0; process < requests.length; process++) {
                requests[process] = newRequest();
                lateAnswersByProcess.add(List.of());
            }
            for (int voter = 0; voter < voters.length; voter++) {
                voters[voter] = newVoter(0);
            }
        }

        World(World other) {
            parameters = other.parameters;
            now = other.now;
            turn = other.turn;
            restartsLeft = other.restartsLeft;
            incarnations = other.incarnations.clone();
            requests = Arrays.stream(other.requests).map(ShareClaim::copy).toArray(ShareClaim[]::new);
            voters = Arrays.stream(other.voters).map(ShareVoter::copy).toArray(ShareVoter[]::new);
            lateAnswersByProcess.addAll(other.lateAnswersByProcess);
            previous = other;
        }

        ShareClaim newRequest() {
            return new ShareClaim(parameters.voters, HOLD_TICKS, 0, 10);
        }

        static ShareVoter newVoter(long now) {
            return new ShareVoter(now, ShareClaim.releaseMicros(HOLD_TICKS, 0), 100);
        }

        /**
         * The state after one turn.
         *
         * @param outcomes one base-4 digit for each voter, see {@link #play}
         * @param restartIndex who restarts first: voters, then processes; -1 for nobody
         */
        World next(int outcomes, int restartIndex) {
            World next = new World(this);
            next.step = "p" + turn + " " + Integer.toString(outcomes, 4)
                    + (restartIndex < 0 ? "" : " anew " + restartIndex);
            next.play(outcomes, restartIndex);
            return next;
        }

        private void play(int outcomes, int restartIndex) {
            if (restartIndex >= 0) {
                restartsLeft--;
                if (restartIndex < voters.length) {
                    voters[restartIndex] = newVoter(now);
                } else {
                    int process = restartIndex - voters.length;
                    incarnations[process]++;
                    requests[process] = newRequest();
                    lateAnswersByProcess.set(process, List.of());
                }
            }
            ShareClaim request = requests[turn];
            for (Answer answer : lateAnswersByProcess.get(turn)) {
                request.receiveGrant(now, answer.voter, answer.requestedAt, answer.grant);
            }
            List<Answer> lateAnswers = new ArrayList<>();
            for (int voter = 0; voter < voters.length; voter++, outcomes /= 4) {
                // 0: request lost, 1: response lost, 2: response immediate, 3: response late
                Grant grant =
                        outcomes % 4 == 0 ? null : voters[voter].count(now, "p" + turn + "/" + incarnations[turn]);
                if (grant != null && outcomes % 4 == 2) {
                    request.receiveGrant(now, voter, now, grant);
                } else if (grant != null && outcomes % 4 == 3) {
                    lateAnswers.add(new Answer(voter, now, grant));
                }
            }
            lateAnswersByProcess.set(turn, lateAnswers);
            turn = (turn + 1) % requests.length;
        }

        double totalShare(long at) {
            double total = 0;
            for (ShareClaim request : requests) {
                total += request.copy().fraction(at);
            }
            return total;
        }

        void advanceTime() {
            now += TURN_TICKS / requests.length;
        }

        /** Key that is equal for equivalent states; the parts of the voters are sorted. */
        long stateKey() {
            String[] voterStates = new String[voters.length];
            for (int voter = 0; voter < voters.length; voter++) {
                StringBuilder voterState = new StringBuilder(voters[voter].describeState(now)).append('|');
                for (int process = 0; process < requests.length; process++) {
                    voterState
                            .append(requests[process].describeState(now).split(" ", -1)[voter])
                            .append(';');
                    for (Answer answer : lateAnswersByProcess.get(process)) {
                        if (answer.voter == voter) {
                            voterState.append(now - answer.requestedAt).append(answer.grant);
                        }
                    }
                }
                voterStates[voter] = voterState.toString();
            }
            Arrays.sort(voterStates);
            StringBuilder state = new StringBuilder()
                    .append(turn)
                    .append(restartsLeft)
                    .append(Arrays.toString(incarnations))
                    .append(Arrays.toString(voterStates));
            for (ShareClaim request : requests) {
                String requestState = request.describeState(now);
                state.append(requestState, requestState.lastIndexOf(' '), requestState.length());
            }
            return Hashes.mix(Ids.of(state.toString()), 1);
        }

        String history() {
            return (previous == null ? "" : previous.history() + "\n") + now + " " + step;
        }
    }

    private ShareWalk() {}

    /** Explores at most {@code maxStates} states breadth first, so that the first violation has a shortest history. */
    static Result walk(WorldParameters parameters, long maxStates) {
        Set<Long> known = new HashSet<>();
        ArrayDeque<World> pending = new ArrayDeque<>();
        pending.add(new World(parameters));
        long steps = 0;
        double maxTotalShare = 0;
        int outcomeCount = 1 << 2 * parameters.voters;
        while (!pending.isEmpty() && known.size() < maxStates) {
            World world = pending.poll();
            int restartChoices = world.restartsLeft > 0 ? parameters.voters + parameters.processes : 0;
            for (int restartIndex = -1; restartIndex < restartChoices; restartIndex++) {
                for (int outcomes = 0; outcomes < outcomeCount; outcomes++) {
                    if (!parameters.lateAnswers && (outcomes & outcomes >> 1 & 0x55555555) != 0) {
                        continue;
                    }
                    World next = world.next(outcomes, restartIndex);
                    steps++;
                    double totalShare = next.totalShare(next.now);
                    next.advanceTime();
                    totalShare = Math.max(totalShare, next.totalShare(next.now - 1));
                    maxTotalShare = Math.max(maxTotalShare, totalShare);
                    if (totalShare > 1 + 1e-9) {
                        return new Result(known.size(), steps, false, totalShare, next.history());
                    }
                    if (known.add(next.stateKey())) {
                        pending.add(next);
                    }
                }
            }
        }
        return new Result(known.size(), steps, pending.isEmpty(), maxTotalShare, null);
    }

    /** History of the first violation in a small exploration, or null. */
    public static String broken(long maxStates) {
        return walk(new WorldParameters(2, 1, true, 1), maxStates).breach;
    }

    /** Arguments, separated by colons: processes, voters, whether responses may be late, restarts, maximum states. */
    public static void main(String[] args) {
        for (String world : args[0].split(",")) {
            String[] parts = world.split(":");
            long startedAt = System.nanoTime();
            Result result = walk(
                    new WorldParameters(
                            Integer.parseInt(parts[0]),
                            Integer.parseInt(parts[1]),
                            Boolean.parseBoolean(parts[2]),
                            Integer.parseInt(parts[3])),
                    Long.parseLong(parts[4]));
            System.out.println(world + ": " + result.states + " states, " + result.steps + " steps, "
                    + (result.complete ? "all" : "cut off") + ", at most " + result.maxTotalShare + " in use, "
                    + (System.nanoTime() - startedAt) / 1_000_000 + " ms"
                    + (result.breach == null ? "" : "\n" + result.breach));
        }
    }
}
