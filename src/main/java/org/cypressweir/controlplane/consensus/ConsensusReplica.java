package org.cypressweir.controlplane.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Item;

/**
 * One harbour's part in keeping the manifest. Inputs are called from one thread with a clock that does not go
 * back; each returns what is to be done, in order.
 */
public final class ConsensusReplica {

    private static final int LEAST_VOTERS = 3;
    private static final long MOST_NUMBER = 1L << 50;

    private final ReplicaContext desk;
    private final Acceptor copy;
    private final PeerTable peers;
    private final SnapshotCache shelf;
    private final ChunkAssembler assembly = new ChunkAssembler();
    private final Learner learning;
    private final Proposer proposer;
    private final CommittedState decided;
    private final VoterChangePlanner wish;
    private final QuorumContact contact;
    private long toldAt;
    private long askedAt;
    private boolean leaving;

    /** As many voters as there are seeds, three at least. */
    public ConsensusReplica(
            ConsensusOptions plan,
            String address,
            List<String> seeds,
            boolean initialStart,
            PersistentState loadedOrNull,
            long life,
            SplittableRandom random,
            long now) {
        this(plan, address, seeds, Math.max(LEAST_VOTERS, seeds.size()), initialStart, loadedOrNull, life, random, now);
    }

    /** @param voters how many members a crew should have */
    public ConsensusReplica(
            ConsensusOptions plan,
            String address,
            List<String> seeds,
            int voters,
            boolean initialStart,
            PersistentState loadedOrNull,
            long life,
            SplittableRandom random,
            long now) {
        long disk = loadedOrNull != null ? loadedOrNull.disk() : initialStart ? 0 : 1 + random.nextLong(MOST_NUMBER);
        desk = new ReplicaContext(plan, address, disk, life, random, now);
        copy = new Acceptor(desk, loadedOrNull);
        peers = new PeerTable(desk);
        contact = new QuorumContact(desk);
        shelf = new SnapshotCache(desk);
        wish = new VoterChangePlanner(desk, new VoterMonitor(desk, peers), voters);
        learning = new Learner(desk, copy, seeds, initialStart);
        decided = new CommittedState(desk, copy, peers);
        proposer = new Proposer(desk, copy, decided, wish);
        toldAt = now - plan.tellEvery();
        askedAt = now - plan.askEvery();
    }

    /** The member that this harbour is: its address, and the number of its disk. */
    public String own() {
        return desk.own;
    }

    public List<Effect> start(long now) {
        return tick(now);
    }

    /** Takes a message. One that is unknown or malformed is ignored. */
    public List<Effect> received(long now, String from, Map<String, Object> message) {
        desk.now = now;
        if (from != null && message.get("t") instanceof String kind && !from.equals(desk.own)) {
            try {
                receive(from, kind, message);
                if (peers.isBack(from) && !Boolean.TRUE.equals(message.get("probe"))) {
                    // After a silence each tells the other at once that it is heard.
                    say(ReplicaKey.address(from), false);
                }
                peers.heard(from);
                release();
                proposer.next();
            } catch (IllegalArgumentException e) {
                // Not a message of ours: nothing has been taken from it.
                return desk.take();
            }
        }
        return desk.take();
    }

    /** A write has come back. */
    public List<Effect> written(long now, long number, boolean ok) {
        desk.now = now;
        copy.written(number, ok);
        decided.look();
        proposer.next();
        return desk.take();
    }

    public List<Effect> submit(long now, long ticket, ConfigurationChange order, long deadline) {
        desk.now = now;
        take(new Proposal(ticket, order, deadline));
        return desk.take();
    }

    public List<Effect> read(long now, long ticket, long deadline) {
        return submit(now, ticket, null, deadline);
    }

    private void take(Proposal ticket) {
        String why = leaving
                ? "this harbour is leaving"
                : copy.sick()
                        ? "the disk of this harbour takes no writes"
                        : !copy.knowing() && !learning.initial()
                                ? "this harbour has still to learn what stands"
                                : copy.knowing() && !member() ? "this harbour is not in the crew" : null;
        if (why != null) {
            desk.answer(ticket.number(), new ProposalResult.Unavailable(why));
        } else if (contact.lost(crew())) {
            contact.hold(ticket);
            release();
        } else {
            proposer.submit(ticket);
        }
    }

    private void release() {
        if (copy.knowing()) {
            contact.look(decided.shown(), copy.accepted(), crew());
        }
        contact.release(crew(), proposer::submit);
        if (contact.probeDue()) {
            targets().forEach(t -> say(t, true));
        }
    }

    /** Why this harbour may not begin with nothing at an operator's word, or null. */
    public String mayNotBegin(long now, Set<String> abandoned) {
        desk.now = now;
        return learning.mayNotBegin(abandoned);
    }

    /** Begins with nothing, alone, at that round. */
    public List<Effect> beginAlone(long now, long round) {
        desk.now = now;
        learning.beginAlone(round);
        return desk.take();
    }

    /**
     * This harbour is about to end. It tells the others, who put one that waits in its place; it takes no
     * more orders. Whether it comes back need not be known: its disk then is the member that it was, in the
     * crew still or waiting to be let in.
     */
    public List<Effect> leave(long now) {
        desk.now = now;
        leaving = true;
        wish.rest();
        tell(targets());
        return desk.take();
    }

    /** Whether what is on this disk is known to be on those of the others, and nobody is to replace it. */
    public boolean handedOver() {
        List<String> others = crew().stream().filter(m -> !m.equals(desk.own)).toList();
        if (!member() || others.isEmpty()) {
            return true;
        }
        Set<String> holders = new HashSet<>(others);
        holders.removeIf(m -> peers.word(m) == null
                || peers.word(m).blank()
                || copy.accepted().above(peers.word(m).accepted()));
        return ReplicatedState.most(others, holders)
                && holders.containsAll(peers.near(others))
                && !wish.waiting(crew());
    }

    /** To be called every 50 ms or so. */
    public List<Effect> tick(long now) {
        desk.now = now;
        copy.tick();
        learning.tick(peers);
        if (now - toldAt >= desk.plan.tellEvery()) {
            toldAt = now;
            tell(targets());
            peers.prune(crew());
            contact.prune(crew(), peers.live());
            assembly.prune(peers.live());
        }
        if (copy.knowing()) {
            wish.note(decided.stamp());
            if (!member() && !leaving && now - askedAt >= desk.plan.askEvery()) {
                askedAt = now;
                Set<String> targets = learning.targets(peers.live());
                crew().forEach(m -> targets.add(ReplicaKey.address(m)));
                targets.forEach(
                        t -> desk.send(t, ConsensusMessages.of(ConsensusMessages.ADMIT, "accepted", copy.accepted())));
            }
        }
        decided.tick();
        release();
        proposer.tick(member());
        return desk.take();
    }

    /** The last state that was shown; before the first one, an empty manifest under {@link ProposalNumber#ZERO}. */
    public ReplicatedState shown() {
        return decided.shown();
    }

    /** How long ago what is shown was known to be the newest; below 0 where it never was. */
    public long confirmedAge(long now) {
        long at = contact.confirmedAt();
        return at == QuorumContact.NEVER ? -1 : Math.max(0, now - at);
    }

    /** Whether this harbour has heard most of the crew answer it not long ago. */
    public boolean inContact(long now) {
        desk.now = Math.max(desk.now, now);
        return !contact.lost(crew());
    }

    /** Whether the disk has failed, or a write has not come back in time. */
    public boolean sick(long now) {
        desk.now = Math.max(desk.now, now);
        return copy.sick();
    }

    /** Whether this harbour has an empty disk and has still to learn what stands. */
    public boolean forgetful() {
        return !copy.knowing() && !learning.initial();
    }

    /** Whether this harbour has a vote, as far as it knows. */
    public boolean votes() {
        return member() && !leaving;
    }

    /** Who asked this harbour lately to be let in. */
    public List<String> standbys() {
        return wish.asking();
    }

    /** The crew as this harbour knows it. */
    public List<String> crew() {
        if (!copy.knowing()) {
            return learning.seeds();
        }
        ReplicatedState shown = decided.shown();
        return shown.stamp().above(copy.accepted())
                ? shown.crew()
                : copy.state().crew();
    }

    private boolean member() {
        return copy.knowing() && crew().contains(desk.own);
    }

    private Set<String> targets() {
        Set<String> to = learning.targets(peers.live());
        if (copy.knowing()) {
            Set<String> live = new HashSet<>();
            peers.live().forEach(m -> live.add(ReplicaKey.address(m)));
            to.retainAll(live);
            crew().forEach(m -> to.add(ReplicaKey.address(m)));
        }
        return to;
    }

    private void tell(Set<String> to) {
        to.forEach(t -> {
            say(t, false);
            if (leaving) {
                desk.send(t, ConsensusMessages.of(ConsensusMessages.LEAVE, "life", desk.life));
            }
        });
    }

    /** Says to that address what stands here. @param probe whether it is to answer at once */
    private void say(String to, boolean probe) {
        if (copy.knowing()) {
            shelf.keep(copy.state());
        }
        desk.send(
                to,
                ConsensusMessages.of(
                        ConsensusMessages.TELL,
                        "life",
                        desk.life,
                        "accepted",
                        copy.accepted(),
                        "decided",
                        decided.stamp(),
                        "crew",
                        copy.knowing() ? copy.state().crew() : List.of(),
                        "forgetful",
                        !copy.knowing(),
                        "hearsay",
                        copy.hearsay(),
                        "number",
                        contact.next(),
                        "probe",
                        probe,
                        "echoLife",
                        contact.echoLife(to),
                        "echo",
                        contact.echo(to)));
    }

    private void receive(String from, String kind, Map<String, Object> message) {
        switch (kind) {
            case ConsensusMessages.PREPARE -> {
                if (forThisDisk(message)) {
                    prepare(from, ConsensusMessages.stamp(message, "b"));
                }
            }
            case ConsensusMessages.ACCEPT -> {
                if (forThisDisk(message)) {
                    accept(from, ConsensusMessages.stamp(message, "b"), message);
                }
            }
            case ConsensusMessages.PROMISE -> {
                holds(from, message);
                proposer.promised(
                        from,
                        ConsensusMessages.stamp(message, "b"),
                        ConsensusMessages.stamp(message, "accepted"),
                        ConsensusMessages.crew(message),
                        ConsensusMessages.flag(message, "hearsay"));
            }
            case ConsensusMessages.NACK -> proposer.nack(
                    from, ConsensusMessages.stamp(message, "b"), ConsensusMessages.stamp(message, "promised"));
            case ConsensusMessages.ACCEPTED -> proposer.accepted(from, ConsensusMessages.stamp(message, "b"));
            case ConsensusMessages.MISMATCH -> {
                holds(from, message);
                proposer.mismatch(from, ConsensusMessages.stamp(message, "b"));
            }
            case ConsensusMessages.DECIDED -> decided.known(ConsensusMessages.stamp(message, "b"));
            case ConsensusMessages.TELL -> {
                PeerTable.Word word = new PeerTable.Word(
                        ConsensusMessages.number(message, "life"),
                        ConsensusMessages.stamp(message, "accepted"),
                        ConsensusMessages.stamp(message, "decided"),
                        ConsensusMessages.crew(message),
                        ConsensusMessages.flag(message, "forgetful"),
                        ConsensusMessages.flag(message, "hearsay"));
                long number = ConsensusMessages.number(message, "number");
                long echoLife = ConsensusMessages.number(message, "echoLife");
                long echo = ConsensusMessages.number(message, "echo");
                desk.seen(word.accepted());
                if (peers.take(from, word)) {
                    contact.told(from, word, number, echoLife, echo);
                    decided.told(word, member());
                }
                if (ConsensusMessages.flag(message, "probe")) {
                    say(ReplicaKey.address(from), false);
                }
            }
            case ConsensusMessages.LEAVE -> {
                peers.leaves(from, ConsensusMessages.number(message, "life"));
                wish.withdraws(from);
                // It waits to hear what stands here.
                say(ReplicaKey.address(from), false);
            }
            case ConsensusMessages.TEACH -> teach(from, ConsensusMessages.number(message, "life"));
            case ConsensusMessages.TOLD -> learning.told(
                    from,
                    ConsensusMessages.number(message, "life"),
                    new Learner.Told(
                            ConsensusMessages.stamp(message, "accepted"), ConsensusMessages.stamp(message, "decided"),
                            ConsensusMessages.crew(message), ConsensusMessages.flag(message, "forgetful")));
            case ConsensusMessages.FETCH -> {
                keepAll();
                shelf.asked(from, ConsensusMessages.stamp(message, "b"), message);
            }
            case ConsensusMessages.PIECE -> {
                ProposalNumber stamp = ConsensusMessages.stamp(message, "b");
                learning.piece(stamp, message);
                decided.piece(stamp, message);
                proposer.piece(stamp, message);
            }
            case ConsensusMessages.GONE -> {
                ProposalNumber stamp = ConsensusMessages.stamp(message, "b");
                learning.gone(from, stamp);
                decided.gone(from, stamp);
                proposer.gone(from, stamp);
            }
            case ConsensusMessages.ADMIT -> {
                if (member() && !crew().contains(from)) {
                    wish.asks(from, ConsensusMessages.stamp(message, "accepted"));
                    proposer.tick(true);
                }
            }
            default -> {}
        }
    }

    /** Builds before named nobody: what they send is for the disk of the first start. */
    private boolean forThisDisk(Map<String, Object> message) {
        return desk.own.equals(message.getOrDefault("to", desk.address));
    }

    private void keepAll() {
        if (copy.knowing()) {
            shelf.keep(decided.shown());
            shelf.keep(copy.state());
        }
    }

    private void prepare(String from, ProposalNumber stamp) {
        if (copy.knowing() && !copy.sick()) {
            copy.promise(
                    stamp,
                    () -> {
                        shelf.keep(copy.state());
                        desk.send(
                                from,
                                ConsensusMessages.of(
                                        ConsensusMessages.PROMISE,
                                        "b",
                                        stamp,
                                        "accepted",
                                        copy.accepted(),
                                        "shown",
                                        decided.shown().stamp(),
                                        "crew",
                                        copy.state().crew(),
                                        "hearsay",
                                        copy.hearsay()));
                    },
                    higher -> nack(from, stamp, higher),
                    () -> {});
        }
    }

    private void accept(String from, ProposalNumber stamp, Map<String, Object> message) {
        ProposalNumber base = ConsensusMessages.stamp(message, "base");
        boolean whole = ConsensusMessages.flag(message, "whole");
        List<String> crew = ConsensusMessages.someCrew(message);
        if (!copy.knowing()) {
            return;
        }
        List<Item> items = assembly.take(
                from,
                stamp,
                whole ? null : base,
                ConsensusMessages.number(message, "part"),
                ConsensusMessages.number(message, "parts"),
                ConsensusMessages.items(message));
        if (items != null && !copy.sick()) {
            ReplicatedState shown = decided.shown();
            // What was learnt as decided but not accepted, since a promise was in the way, is a base as well.
            boolean learnt = !whole
                    && base.equals(shown.stamp())
                    && !base.equals(copy.accepted())
                    && !base.equals(ProposalNumber.ZERO);
            ReplicatedState before = learnt ? shown : copy.state();
            if (!whole
                    && base.equals(before.stamp())
                    && before.manifest().with(items).sum() != ConsensusMessages.number(message, "sum")) {
                mismatch(from, stamp);
                return;
            }
            copy.accept(
                    stamp,
                    base,
                    whole || learnt,
                    crew,
                    learnt ? shown.manifest().with(items).items() : items,
                    () -> desk.send(from, ConsensusMessages.of(ConsensusMessages.ACCEPTED, "b", stamp)),
                    higher -> nack(from, stamp, higher),
                    () -> mismatch(from, stamp),
                    () -> {});
        }
    }

    private void holds(String from, Map<String, Object> message) {
        desk.holds(from, ConsensusMessages.stamp(message, "accepted"), ConsensusMessages.stamp(message, "shown"));
    }

    private void mismatch(String to, ProposalNumber stamp) {
        desk.send(
                to,
                ConsensusMessages.of(
                        ConsensusMessages.MISMATCH,
                        "b",
                        stamp,
                        "accepted",
                        copy.accepted(),
                        "shown",
                        decided.shown().stamp()));
    }

    private void nack(String to, ProposalNumber stamp, ProposalNumber promised) {
        desk.send(to, ConsensusMessages.of(ConsensusMessages.NACK, "b", stamp, "promised", promised));
    }

    private void teach(String from, long life) {
        if (copy.knowing()) {
            shelf.keep(copy.state());
        }
        desk.send(
                from,
                ConsensusMessages.of(
                        ConsensusMessages.TOLD,
                        "life",
                        life,
                        "accepted",
                        copy.accepted(),
                        "decided",
                        decided.stamp(),
                        "crew",
                        copy.knowing() ? copy.state().crew() : List.of(),
                        "forgetful",
                        !copy.knowing()));
    }
}
