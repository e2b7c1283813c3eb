package org.cypressweir.modelcheck;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.fleet.lease.LeaseMessage;
import org.cypressweir.fleet.lease.LeaseOptions;
import org.cypressweir.fleet.lease.Leases;
import org.cypressweir.fleet.lease.StateText;

/**
 * Model checker for leases: explores all states of a small model of grantors and clients of one lease, with the
 * production classes. Clients take turns, each of them every fifth of a term where there are two. In a turn each
 * grantor either does not receive the requests, or its responses are lost, or all messages arrive at once, or the
 * responses arrive at the client's next turn. A turn may be skipped, which models a paused client, and grantors may
 * restart, as often as the model allows. The clocks of grantors are fast and those of clients slow, each by the largest
 * drift. A client that may act by its own clock acts, at its turn and right before the next one, also while it is
 * paused, since it may resume at any moment. Messages among grantors arrive at once.
 *
 * <p>States that differ only by the order of grantors or by the size of tokens are equivalent. Nothing is random: all
 * jitter is 0, and skipped turns have the effect that jitter would have.
 */
public final class LeaseWalk {

    private static final long TERM_MICROS = 1_000_000;
    private static final long TURN_MICROS = TERM_MICROS / 10;
    private static final int DRIFT_PERCENT = 5;
    /** All messages arrive at once, for up to 7 grantors. */
    private static final int ALL_ARRIVE_FATES = 0x2AAA;

    private static final int MAX_TURNS = 200;
    private static final String LEASE = "l";

    /**
     * Parameters of the model.
     *
     * @param lateResponses whether responses may arrive at the next turn
     * @param pauses turns that may be skipped in total
     * @param restarts restarts of grantors in total
     * @param restartTogether whether all grantors restart at once; tokens, which then depend on more than grantors, are
     *        not checked in that case
     */
    public record Parameters(
            int grantors, int clients, boolean lateResponses, int pauses, int restarts, boolean restartTogether) {}

    /**
     * Result of an exploration.
     *
     * @param states visited
     * @param steps between them
     * @param isComplete whether all states were visited
     * @param statesWithHolder states in which a client holds the lease
     * @param violation history of the first violation, or null
     */
    public record Result(long states, long steps, boolean isComplete, long statesWithHolder, String violation) {}

    private record LateMessage(int grantor, LeaseMessage message) {}

    /** A step, linked to the one before it. */
    private record Step(String description, Step previous) {
        String history() {
            return (previous == null ? "" : previous.history() + "\n") + description;
        }
    }

    private record SentMessage(InetSocketAddress to, LeaseMessage message) {}

    /** Collects the messages that one process sends within a call. */
    private static final class MessageCollector implements Leases.Actions {
        final ArrayDeque<SentMessage> sent = new ArrayDeque<>();

        @Override
        public void send(InetSocketAddress to, LeaseMessage message) {
            sent.add(new SentMessage(to, message));
        }

        @Override
        public void acquired(String lease, long token) {}

        @Override
        public void ended(String lease, long token, String reason) {}
    }

    private static InetSocketAddress address(int index) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + index);
    }

    private static final class ModelState {
        final Parameters parameters;
        final LeaseOptions options;
        long now;
        int turn;
        int pauses;
        int restarts;
        final Leases[] processes;
        final MessageCollector[] collectors;
        final List<List<LateMessage>> lateMessages = new ArrayList<>();
        String lastHolder = "";
        long lastToken;
        Step step;

        ModelState(Parameters parameters) {
            this.parameters = parameters;
            pauses = parameters.pauses;
            restarts = parameters.restarts;
            options = new LeaseOptions(
                    IntStream.range(0, parameters.grantors)
                            .mapToObj(LeaseWalk::address)
                            .toList(),
                    null,
                    TERM_MICROS,
                    DRIFT_PERCENT / 100.0,
                    false,
                    Map.of(LEASE, TERM_MICROS));
            processes = new Leases[parameters.grantors + parameters.clients];
            collectors = new MessageCollector[processes.length];
            Map<String, InetSocketAddress> members = new LinkedHashMap<>();
            for (int i = parameters.grantors; i < processes.length; i++) {
                members.put("c" + i, address(i));
                lateMessages.add(List.of());
            }
            for (int i = 0; i < processes.length; i++) {
                start(i);
                if (i >= parameters.grantors) {
                    processes[i].updateMembers(members);
                }
            }
        }

        ModelState(ModelState other) {
            parameters = other.parameters;
            options = other.options;
            now = other.now;
            turn = other.turn;
            pauses = other.pauses;
            restarts = other.restarts;
            processes = new Leases[other.processes.length];
            collectors = new MessageCollector[processes.length];
            for (int i = 0; i < processes.length; i++) {
                collectors[i] = new MessageCollector();
                processes[i] = other.processes[i].copy(collectors[i]);
            }
            lateMessages.addAll(other.lateMessages);
            lastHolder = other.lastHolder;
            lastToken = other.lastToken;
        }

        private void start(int i) {
            collectors[i] = new MessageCollector();
            processes[i] = new Leases(
                    clock(i, now),
                    options,
                    address(i),
                    (i < parameters.grantors ? "k" : "c") + i,
                    "1",
                    0,
                    bound -> 0,
                    collectors[i]);
            if (i < parameters.grantors) {
                processes[i].leave(clock(i, now), "it only grants");
            }
        }

        long clock(int i, long at) {
            return at / 100 * (i < parameters.grantors ? 100 + DRIFT_PERCENT : 100 - DRIFT_PERCENT);
        }

        /** Runs one turn: a fate for each grantor as a digit in base four; the grantor to restart, or -1 for none. */
        void runTurn(int fates, boolean skipped, int restart) {
            if (restart >= 0) {
                restarts--;
                for (int grantor = 0; grantor < parameters.grantors; grantor++) {
                    if (parameters.restartTogether || grantor == restart) {
                        start(grantor);
                    }
                }
            }
            exchangeAmongGrantors();
            int client = parameters.grantors + turn;
            if (skipped) {
                pauses--;
            } else {
                List<LateMessage> arriving = lateMessages.get(turn);
                List<LateMessage> nextLate = new ArrayList<>();
                for (LateMessage late : arriving) {
                    processes[client].receive(clock(client, now), address(late.grantor), late.message);
                }
                processes[client].tick(clock(client, now));
                for (SentMessage sent; (sent = collectors[client].sent.poll()) != null; ) {
                    int to = sent.to.getPort() - 1_000;
                    if (to >= parameters.grantors) {
                        processes[to].receive(clock(to, now), address(client), sent.message);
                    } else {
                        sendToGrantor(client, to, sent.message, fates >> 2 * to & 3, nextLate);
                    }
                }
                lateMessages.set(turn, nextLate);
            }
            turn = (turn + 1) % parameters.clients;
        }

        private void sendToGrantor(
                int client, int grantor, LeaseMessage message, int fate, List<LateMessage> nextLate) {
            // 0: request lost, 1: responses lost, 2: all arrive at once, 3: responses are late
            if (fate == 0) {
                return;
            }
            processes[grantor].receive(clock(grantor, now), address(client), message);
            for (SentMessage response; (response = collectors[grantor].sent.poll()) != null; ) {
                if (fate == 2) {
                    processes[client].receive(clock(client, now), address(grantor), response.message);
                } else if (fate == 3) {
                    nextLate.add(new LateMessage(grantor, response.message));
                }
            }
        }

        private void exchangeAmongGrantors() {
            for (int grantor = 0; grantor < parameters.grantors; grantor++) {
                processes[grantor].tick(clock(grantor, now));
            }
            for (boolean hasMessages = true; hasMessages; ) {
                hasMessages = false;
                for (int grantor = 0; grantor < parameters.grantors; grantor++) {
                    for (SentMessage sent; (sent = collectors[grantor].sent.poll()) != null; ) {
                        int to = sent.to.getPort() - 1_000;
                        if (to < parameters.grantors) {
                            processes[to].receive(clock(to, now), address(grantor), sent.message);
                            hasMessages = true;
                        }
                    }
                }
            }
        }

        /** Describes the rule that is violated at that time; null for none. */
        String findViolation(long at) {
            String actor = null;
            for (int client = parameters.grantors; client < processes.length; client++) {
                Leases.Permission permission = processes[client].checkHolding(clock(client, at), LEASE, 0);
                if (!permission.mayAct()) {
                    continue;
                }
                String name = "c" + client;
                if (actor != null) {
                    return actor + " and " + name + " act at " + at;
                }
                actor = name;
                boolean isTokenValid =
                        name.equals(lastHolder) ? permission.token() >= lastToken : permission.token() > lastToken;
                if (!parameters.restartTogether && !isTokenValid) {
                    return name + " has token " + permission.token() + " at " + at + " after " + lastToken + " of "
                            + lastHolder;
                }
                lastHolder = name;
                lastToken = permission.token();
            }
            return null;
        }

        boolean isLeaseHeld() {
            return IntStream.range(parameters.grantors, processes.length)
                    .anyMatch(c ->
                            processes[c].checkHolding(clock(c, now), LEASE, 0).mayAct());
        }

        long stateHash() {
            StateText text = new StateText();
            text.add("world", turn, pauses, restarts);
            text.addName(lastHolder);
            text.addToken(lastToken);
            for (int i = 0; i < processes.length; i++) {
                processes[i].describeState(clock(i, now), text);
            }
            for (int clientIndex = 0; clientIndex < lateMessages.size(); clientIndex++) {
                for (LateMessage late : lateMessages.get(clientIndex)) {
                    int client = parameters.grantors + clientIndex;
                    text.addGrantorText(
                            address(late.grantor),
                            "late " + clientIndex + late.message.kind() + late.message.holder()
                                    + late.message.micros());
                    text.addGrantorToken(address(late.grantor), late.message.token());
                    processes[client].describeRequest(clock(client, now), LEASE, late.message.requestNumber(), text);
                }
            }
            return Hashes.mix(Ids.of(text.toString()), 1);
        }
    }

    /** The initial states: just started, and with a holder that the other clients do not know. */
    private static List<ModelState> initialStates(Parameters parameters) {
        ModelState stateWithHolder = new ModelState(parameters);
        for (int i = 0; i < MAX_TURNS && !stateWithHolder.isLeaseHeld(); i++) {
            boolean isFirstClient = stateWithHolder.turn == 0;
            stateWithHolder.pauses += isFirstClient ? 0 : 1;
            stateWithHolder.runTurn(ALL_ARRIVE_FATES, !isFirstClient, -1);
            stateWithHolder.findViolation(stateWithHolder.now);
            stateWithHolder.now += TURN_MICROS;
        }
        return List.of(new ModelState(parameters), stateWithHolder);
    }

    private LeaseWalk() {}

    /** Explores states breadth first, so that the first violation has a shortest history; at most so many states. */
    public static Result explore(Parameters parameters, long maxStates) {
        Set<Long> visited = new HashSet<>();
        ArrayDeque<ModelState> frontier = new ArrayDeque<>();
        frontier.addAll(initialStates(parameters));
        long steps = 0;
        long statesWithHolder = 0;
        while (!frontier.isEmpty() && visited.size() < maxStates) {
            ModelState state = frontier.poll();
            int restarts = state.restarts == 0 ? 0 : parameters.restartTogether ? 1 : parameters.grantors;
            for (int restart = -1; restart < restarts; restart++) {
                for (int fates = state.pauses > 0 ? -1 : 0; fates < 1 << 2 * parameters.grantors; fates++) {
                    if (fates > 0 && !parameters.lateResponses && (fates & fates >> 1 & 0x55555555) != 0) {
                        continue;
                    }
                    ModelState next = new ModelState(state);
                    next.runTurn(Math.max(0, fates), fates < 0, restart);
                    steps++;
                    next.step = new Step(
                            next.now + " c" + (parameters.grantors + state.turn)
                                    + (fates < 0 ? " is paused" : " " + Integer.toString(fates, 4))
                                    + (restart < 0 ? "" : " restart " + restart),
                            state.step);
                    String violation = next.findViolation(next.now);
                    next.now += TURN_MICROS;
                    violation = violation != null ? violation : next.findViolation(next.now - 100);
                    if (violation != null) {
                        return new Result(
                                visited.size(), steps, false, statesWithHolder, next.step.history() + "\n" + violation);
                    }
                    if (visited.add(next.stateHash())) {
                        statesWithHolder += next.isLeaseHeld() ? 1 : 0;
                        frontier.add(next);
                    }
                }
            }
        }
        return new Result(visited.size(), steps, frontier.isEmpty(), statesWithHolder, null);
    }

    /** Checks a small model. Returns the history of a violation, or null. */
    public static String checkSmallModel(int pauses, int restarts, boolean restartTogether, long maxStates) {
        return explore(new Parameters(3, 2, false, pauses, restarts, restartTogether), maxStates).violation;
    }

    /**
     * Checks models. They are separated by commas, and their fields by colons: grantors, clients, late responses,
     * pauses, restarts, whether all grantors restart at once, and the limit of states.
     */
    public static void main(String[] args) {
        for (String modelText : args[0].split(",")) {
            String[] fields = modelText.split(":");
            long startedAt = System.nanoTime();
            Result result = explore(
                    new Parameters(
                            Integer.parseInt(fields[0]),
                            Integer.parseInt(fields[1]),
                            Boolean.parseBoolean(fields[2]),
                            Integer.parseInt(fields[3]),
                            Integer.parseInt(fields[4]),
                            Boolean.parseBoolean(fields[5])),
                    Long.parseLong(fields[6]));
            System.out.println(modelText + ": " + result.states + " states, " + result.steps + " steps, "
                    + (result.isComplete ? "all states" : "stopped at the limit") + ", the lease is held in "
                    + result.statesWithHolder + ", "
                    + (System.nanoTime() - startedAt) / 1_000_000 + " ms"
                    + (result.violation == null ? "" : "\n" + result.violation));
        }
    }
}
