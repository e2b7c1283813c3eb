package org.cypressweir.controlplane.consensus;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * As of when this harbour is known to have been in contact with a majority. Its words about itself are
 * numbered, and each peer says back the last number that it has heard. That proves contact as of the moment
 * at which the number was sent, on this harbour's own clock: what a cut holds up and delivers late proves
 * nothing, and no two clocks are compared.
 *
 * <p>What is shown is the newest as of a moment if a majority of its crew, asked at that moment or later, had
 * accepted nothing above it: a state agreed before would have been accepted by one of them.
 */
final class QuorumContact {

    static final long NEVER = Long.MIN_VALUE;

    private static final int KEPT = 64;

    /** What a peer has said back: when the number was sent, in which life it spoke, what it had accepted. */
    private record Proof(long at, long life, ProposalNumber accepted) {}

    /** The last number heard from an address, and in which life. */
    private record Heard(long life, long number) {}

    /** A proposal that came while no majority was reached: until when one is looked for. */
    private record Held(Proposal proposal, long until) {}

    private final ReplicaContext desk;
    private final long begun;
    private final long[] sentAt = new long[KEPT];
    private final Map<String, Proof> proofs = new HashMap<>();
    private final Map<String, Heard> numbers = new HashMap<>();
    private final Deque<Held> held = new ArrayDeque<>();
    private long number;
    private long confirmedAt = NEVER;
    private long probedAt = NEVER;

    QuorumContact(ReplicaContext desk) {
        this.desk = desk;
        begun = desk.now;
    }

    /** The number of what is told now. */
    long next() {
        sentAt[(int) (++number % KEPT)] = desk.now;
        return number;
    }

    /** What is said back to an address; zeros where nothing was heard. */
    long echo(String to) {
        return numbers.containsKey(to) ? numbers.get(to).number : 0;
    }

    long echoLife(String to) {
        return numbers.containsKey(to) ? numbers.get(to).life : 0;
    }

    /** A peer tells of itself, and says back what it has heard of a life of this harbour. */
    void told(String from, PeerTable.Word word, long its, long echoLife, long echo) {
        String address = ReplicaKey.address(from);
        Heard before = numbers.get(address);
        if (before == null || before.life != word.life() || before.number < its) {
            numbers.put(address, new Heard(word.life(), its));
        }
        Proof old = proofs.get(from);
        if (word.blank() || old != null && old.life != word.life()) {
            proofs.remove(from);
            old = null;
        }
        if (!word.blank() && echoLife == desk.life && echo > number - KEPT && echo > 0 && echo <= number) {
            long at = sentAt[(int) (echo % KEPT)];
            if (old == null || at >= old.at) {
                proofs.put(from, new Proof(at, word.life(), word.accepted()));
            }
        }
    }

    /** As of when most of a crew had heard this harbour. */
    long reachedAt(List<String> crew) {
        return most(crew, true, proof -> proof.at);
    }

    /** Whether no majority has been reached for too long to expect that anything can be agreed. */
    boolean lost(List<String> crew) {
        return desk.now - Math.max(begun, reachedAt(crew)) > desk.plan.contactWithin();
    }

    /** What is shown may have come to be known as the newest. */
    void look(ReplicatedState shown, ProposalNumber accepted, List<String> crew) {
        boolean own = !accepted.above(shown.stamp());
        ToLongFunction<Proof> asOf = proof -> proof.accepted.above(shown.stamp()) ? NEVER : proof.at;
        List<String> its = shown.crew().isEmpty() ? crew : shown.crew();
        confirmedAt = Math.max(confirmedAt, Math.min(most(its, own, asOf), most(crew, own, asOf)));
    }

    /** As of when what is shown was known to be the newest; of one that is not shown, never. */
    long confirmedAt() {
        return confirmedAt;
    }

    private long most(List<String> crew, boolean own, ToLongFunction<Proof> asOf) {
        if (crew.isEmpty()) {
            return NEVER;
        }
        long[] times = crew.stream()
                .mapToLong(member -> member.equals(desk.own)
                        ? own ? desk.now : NEVER
                        : proofs.containsKey(member) ? asOf.applyAsLong(proofs.get(member)) : NEVER)
                .toArray();
        Arrays.sort(times);
        return times[times.length - crew.size() / 2 - 1];
    }

    /** Keeps a proposal for as long as an answer to what is told now may take. */
    void hold(Proposal proposal) {
        held.add(new Held(proposal, Math.min(proposal.deadline(), desk.now + desk.plan.probeMost())));
    }

    /** Hands on what was held once a majority is reached, and refuses what has waited for its time. */
    void release(List<String> crew, Consumer<Proposal> then) {
        boolean lost = !held.isEmpty() && lost(crew);
        while (!held.isEmpty() && (!lost || desk.now >= held.peek().until)) {
            Proposal next = held.poll().proposal;
            if (lost) {
                desk.answer(
                        next.number(),
                        new ProposalResult.Unavailable("this harbour is not in contact with most of the crew"));
            } else {
                then.accept(next);
            }
        }
    }

    /** Whether peers are to be asked to answer at once, since a proposal waits for that. */
    boolean probeDue() {
        if (held.isEmpty() || probedAt != NEVER && desk.now - probedAt < desk.plan.probeEvery()) {
            return false;
        }
        probedAt = desk.now;
        return true;
    }

    void prune(Collection<String> crew, Set<String> live) {
        Set<String> addresses = Stream.concat(crew.stream(), live.stream())
                .map(ReplicaKey::address)
                .collect(Collectors.toSet());
        numbers.keySet().retainAll(addresses);
        proofs.keySet().removeIf(who -> !crew.contains(who) && !live.contains(who));
    }
}
