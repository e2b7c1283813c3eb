package org.cypressweir.controlplane.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What should change about the crew: one out, or one in, never both at once, so that any majority of the crew
 * before shares a member with any after. Who is gone goes out before another comes in: a crew never grows
 * over the wanted number.
 */
final class VoterChangePlanner {

    private record Standby(long askedAt, ProposalNumber accepted) {}

    private record Noted(long at, ProposalNumber decided) {}

    private final ReplicaContext desk;
    private final VoterMonitor watch;
    private final int voters;
    private final Map<String, Standby> standbys = new TreeMap<>();
    private final Deque<Noted> noted = new ArrayDeque<>();
    private ProposalNumber bar = ProposalNumber.ZERO;
    private List<String> wanted = List.of();
    private long since;
    private boolean resting;

    VoterChangePlanner(ReplicaContext desk, VoterMonitor watch, int voters) {
        this.desk = desk;
        this.watch = watch;
        this.voters = voters;
    }

    /** Somebody asks to be let in, with what stands on its disk; that holds for a while. */
    void asks(String harbour, ProposalNumber accepted) {
        standbys.keySet().removeIf(other -> ReplicaKey.address(other).equals(ReplicaKey.address(harbour)));
        standbys.put(harbour, new Standby(desk.now, accepted));
    }

    void withdraws(String harbour) {
        standbys.remove(harbour);
    }

    /** To be called often, with the highest state known decided: who lags far behind it is not let in. */
    void note(ProposalNumber decided) {
        standbys.values().removeIf(s -> desk.now - s.askedAt > 2 * desk.plan.askEvery());
        if (noted.isEmpty() || decided.above(noted.peekLast().decided)) {
            noted.add(new Noted(desk.now, decided));
        }
        while (!noted.isEmpty() && desk.now - noted.peek().at >= desk.plan.silentAfter()) {
            bar = noted.poll().decided;
        }
    }

    /** The crew that should come after that one. The first that is there sees to it, then the next. */
    List<String> of(List<String> crew) {
        List<String> next = resting ? crew : next(crew);
        if (next.equals(crew)) {
            return crew;
        }
        if (!next.equals(wanted)) {
            wanted = next;
            since = desk.now;
        }
        int rank = watch.staying(crew).indexOf(desk.own);
        return rank >= 0 && desk.now - since >= rank * desk.plan.askEvery() ? next : crew;
    }

    /** Nothing is to be wished from here on. */
    void rest() {
        resting = true;
    }

    /** Who asks to be let in. */
    List<String> asking() {
        return List.copyOf(standbys.keySet());
    }

    /** Whether somebody waits to come into that crew. */
    boolean waiting(List<String> crew) {
        return standby(crew).isPresent();
    }

    private Optional<String> standby(List<String> crew) {
        return standbys.entrySet().stream()
                .filter(e -> !crew.contains(e.getKey()) && !bar.above(e.getValue().accepted))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private List<String> next(List<String> crew) {
        if (2 * watch.live(crew).size() <= crew.size()) {
            return crew;
        }
        Optional<String> standby = standby(crew);
        String gone = watch.gone(crew, standby.isPresent());
        if (gone != null) {
            return crew.stream().filter(m -> !m.equals(gone)).toList();
        }
        return standby.isPresent() && crew.size() < voters
                ? Stream.concat(crew.stream(), standby.stream()).sorted().toList()
                : crew;
    }
}
