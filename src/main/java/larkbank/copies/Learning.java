package larkbank.copies;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import larkbank.manifest.Manifest;

/**
 * How a harbour with an empty disk comes to know what stands. Its disk is no member of any crew, whatever
 * stood at its address before: it takes a decided state, once most of that state's crew have spoken, and may
 * then ask to be let in. Only a system that starts for the first time begins with nothing.
 */
final class Learning {

    /** An answer: what a harbour's copy says. */
    record Told(Ballot accepted, Ballot decided, List<String> crew, boolean blank) {}

    private static final long ASKS_BEFORE = 4;

    private final Desk desk;
    private final Acceptor copy;
    private final List<String> seeds;
    private final boolean initial;
    private final Map<String, Told> told = new HashMap<>();
    private long askedAt;
    private final long begun;
    private Fetch fetch;

    Learning(Desk desk, Acceptor copy, List<String> seeds, boolean initial) {
        this.desk = desk;
        this.copy = copy;
        this.seeds = seeds.stream().distinct().sorted().toList();
        this.initial = initial;
        begun = desk.now;
        askedAt = begun - desk.plan.askEvery();
    }

    /** Why this harbour may not begin with nothing, or null: who holds something is never passed over. */
    String mayNotBegin(Set<String> abandoned) {
        if (copy.knowing() || initial) {
            return "this harbour is not blank";
        }
        if (desk.now - begun < ASKS_BEFORE * desk.plan.askEvery()) {
            return "this harbour still asks who holds something";
        }
        Set<String> holders = new TreeSet<>();
        knowing().forEach(m -> holders.add(Member.address(m)));
        holders.removeAll(abandoned);
        return holders.isEmpty() ? null : "held by " + String.join(", ", holders);
    }

    /**
     * An operator has said so. The round lies above all before, which count up by ones: who still holds what
     * stood before can't be taken to know better.
     */
    void beginAlone(long round) {
        copy.begin(new State(new Ballot(round, desk.own), List.of(desk.own), Manifest.EMPTY), told::clear);
    }

    boolean initial() {
        return initial;
    }

    List<String> seeds() {
        return seeds;
    }

    /** Addresses of harbours that may know something. */
    Set<String> targets(Collection<String> heard) {
        Set<String> targets = new TreeSet<>(seeds);
        told.values().forEach(t -> t.crew.forEach(m -> targets.add(Member.address(m))));
        heard.forEach(m -> targets.add(Member.address(m)));
        targets.remove(desk.address);
        return targets;
    }

    void tick(Peers peers) {
        if (copy.knowing()) {
            return;
        }
        if (desk.now - askedAt >= desk.plan.askEvery()) {
            askedAt = desk.now;
            if (initial) {
                copy.begin(new State(Ballot.ZERO, seeds, Manifest.EMPTY), () -> {});
                return;
            }
            for (String target : targets(peers.live())) {
                desk.send(target, Words.of(Words.TEACH, "life", desk.life));
            }
            weigh();
        }
        if (fetch != null) {
            fetch.tick();
            if (fetch.failed()) {
                fetch = null;
            }
        }
    }

    void told(String from, long life, Told word) {
        if (copy.knowing() || initial || life != desk.life) {
            return;
        }
        told.put(from, word);
        weigh();
    }

    private void weigh() {
        if (fetch != null || copy.knowing()) {
            return;
        }
        Set<String> knowing = knowing();
        Told top = null;
        Ballot decided = Ballot.ZERO;
        for (String each : knowing) {
            Told word = told.get(each);
            top = top == null || word.accepted.above(top.accepted) ? word : top;
            decided = Ballot.higher(decided, word.decided);
        }
        if (top == null || !State.most(top.crew, knowing)) {
            return;
        }
        if (top.accepted.equals(Ballot.ZERO)) {
            learnt(new State(Ballot.ZERO, top.crew, Manifest.EMPTY));
        } else if (decided.above(Ballot.ZERO)) {
            fetch = new Fetch(desk, decided, having(decided));
        }
    }

    private Set<String> knowing() {
        Set<String> knowing = new HashSet<>(told.keySet());
        knowing.removeIf(who -> told.get(who).blank);
        return knowing;
    }

    private Set<String> having(Ballot stamp) {
        Set<String> having = knowing();
        having.removeIf(who ->
                !told.get(who).decided.equals(stamp) && !told.get(who).accepted.equals(stamp));
        return having;
    }

    void piece(Ballot of, Map<?, ?> message) {
        if (fetch != null && fetch.stamp().equals(of)) {
            State whole = fetch.piece(message);
            if (whole != null) {
                learnt(whole);
            }
        }
    }

    void gone(String from, Ballot of) {
        if (fetch != null && fetch.stamp().equals(of)) {
            fetch.gone(from);
        }
    }

    private void learnt(State state) {
        fetch = null;
        if (State.most(state.crew(), knowing())) {
            copy.begin(state, told::clear);
        }
    }
}
