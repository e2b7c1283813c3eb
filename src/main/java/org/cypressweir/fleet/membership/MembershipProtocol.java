package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.MonitoredPeers.Link;
import org.cypressweir.fleet.membership.SuspicionTable.Ruling;
import org.cypressweir.fleet.membership.UpdateDisseminator.Load;

/**
 * One process's part in the membership of a fleet. It is told the time with every event, is called at least
 * once a beat, and acts through {@link Actions} alone.
 *
 * <p>Each member asks its neighbours in three rings and tells all when it has lost touch with one, or found
 * it again; {@link SuspicionTable} says what follows. Whoever hears that it was put out comes back under a higher
 * incarnation, and is in again once a neighbour has talked with it both ways.
 */
public final class MembershipProtocol {

    /** What the process does; none of it reaches back into this object within the call. */
    public interface Actions {
        void send(InetSocketAddress to, MembershipMessage message);

        /** The view is another. */
        void changed(Change change);

        /** Another process has the name, and had it first. */
        void refused(String why);

        void log(String line);
    }

    /** A member as it is seen from here. */
    public record Seen(MemberRecord entry, String state) {}

    /** Bytes a second, at most: of questions and answers, and of all else. */
    private static final int ASKING = 64_000;

    private static final int TELLING = 512_000;
    /** Bytes of a message without anything in it, at most. */
    private static final int BARE = 100;
    /** Messages in answer to one comparison. */
    private static final int PAGES = 8;
    /** Ends of one ruling that are told one by one; of more the others hear the same reports. */
    private static final int FEW_ENDS = 8;
    /** Questions at a time to those that are looked for. */
    private static final int LOOKS = 4;
    /** Members that ask for one that was lost, each second. */
    private static final double KNOCKS = 3;

    private MembershipOptions plan;
    private final Actions actions;
    private final SplittableRandom random;
    private final MonitoringRings.Cache cache;
    private final MemberTable roster = new MemberTable();
    private final FailureReports reports = new FailureReports();
    private final UpdateDisseminator disseminator = new UpdateDisseminator();
    private final NameConflicts contests = new NameConflicts();
    private final MonitoredPeers links;
    private final SuspicionTable verdicts;
    private final Allowance asking = new Allowance(ASKING);
    private final Allowance telling = new Allowance(TELLING);
    private Peer self;
    /** Some neighbour has talked with this process both ways, ever. */
    private boolean admitted;

    private boolean leaving;
    /** Another process has the name; nothing is said or heard any more. */
    private boolean outside;

    /** It was put out, or never let in, and nobody has let it in since: it rules over nobody. */
    private boolean adrift;

    private long askingSince;

    private record RemovalNotice(long until, String by) {}

    /** Ends told by others, which hold unless the member itself says otherwise by then. */
    private final Map<String, RemovalNotice> condemned = new TreeMap<>();
    /** Those that ask to be let in, and since when. */
    private final Map<String, Long> candidates = new TreeMap<>();
    /** Members found while they could not be reached over neighbours, and until when that counts. */
    private final Map<String, Long> found = new HashMap<>();

    private Set<String> looked = Set.of();
    private MonitoringRings rings;
    private long ringsOf;
    private boolean targetsOld = true;
    private boolean rulingOld;
    private int sayings;
    private long lastEventAt = Long.MIN_VALUE;
    private long lookAt;
    private long ruleAt;
    private long calmAt = Long.MIN_VALUE;
    private long frozenUntil = Long.MIN_VALUE;
    private long knockAt;
    private long seedAt;
    private long sweepAt;
    private long compareAt;
    private long agreedAt = Long.MIN_VALUE;
    private long changedAt;
    private int leaves;
    private long dropped;

    public MembershipProtocol(
            long now, MembershipOptions plan, Peer self, Map<String, String> facts, long seed, Actions actions) {
        this(now, plan, self, facts, seed, actions, new MonitoringRings.Cache(2));
    }

    /** With rings that other members in the same memory use too. */
    public MembershipProtocol(
            long now,
            MembershipOptions plan,
            Peer self,
            Map<String, String> facts,
            long seed,
            Actions actions,
            MonitoringRings.Cache cache) {
        this.plan = plan;
        this.self = self;
        this.actions = actions;
        this.cache = cache;
        random = new SplittableRandom(seed);
        links = new MonitoredPeers(plan, random.split());
        verdicts = new SuspicionTable(plan.graceMicros());
        roster.put(now, new MemberRecord(self, MemberStatus.CANDIDATE, 1, facts, 0), true);
        lastEventAt = now;
        changedAt = now;
        askingSince = now;
    }

    /** Begins with members that are known already, as after a start long ago. */
    public void know(long now, Iterable<MemberRecord> members) {
        for (MemberRecord e : members) {
            roster.put(
                    now, e.name().equals(self.name()) ? roster.get(self.name()).with(e) : e, true);
        }
        admitted = true;
        targetsOld = true;
        askingSince = now;
    }

    // ---- What is seen

    /** Members in the view, this one among them. */
    public int live() {
        return outside || adrift ? 1 : roster.live();
    }

    public boolean isIn(String name) {
        return name.equals(self.name()) || !outside && !adrift && roster.isIn(name);
    }

    public Peer self() {
        return self;
    }

    /** Messages that were not sent since others wanted more than is allowed. */
    public long dropped() {
        return dropped;
    }

    /** Everybody that is known, by name. */
    public Map<String, Seen> members() {
        Map<String, Seen> seen = new TreeMap<>();
        for (MemberRecord e : roster.all()) {
            seen.put(e.name(), new Seen(e, state(e)));
        }
        return seen;
    }

    private String state(MemberRecord e) {
        if ((outside || adrift) && !e.name().equals(self.name())) {
            return "unreachable";
        }
        if (!roster.isIn(e.name())) {
            return switch (e.standing()) {
                case LEFT -> "left";
                case OUT -> "out";
                default -> "joining";
            };
        }
        boolean doubted = condemned.containsKey(e.name())
                || looked.contains(e.name())
                || reports.on(e.name()).stream().anyMatch(r -> r.lost() && r.aboutIncarnation() == e.incarnation());
        return doubted ? "suspect" : "alive";
    }

    // ---- Events

    /** Other seeds and times hold from now on. */
    public void retune(MembershipOptions next) {
        plan = next;
        links.retune(next);
        verdicts.retune(next.graceMicros());
    }

    /** What this process says of itself; the newest holds everywhere. */
    public void facts(long now, Map<String, String> facts) {
        MemberRecord own = roster.get(self.name());
        if (!own.facts().equals(facts)) {
            speakOfSelf(now, new MemberRecord(self, own.standing(), own.version() + 1, facts, 0));
        }
    }

    /** Goes, and says so. */
    public void leave(long now) {
        if (!leaving && !outside) {
            leaving = true;
            speakOfSelf(now, roster.get(self.name()).standing(MemberStatus.LEFT));
            tick(now);
        }
    }

    /** Whether enough has been said of leaving. */
    public boolean hasLeft() {
        return outside || leaves >= 3;
    }

    public void tick(long now) {
        awake(now);
        if (outside) {
            return;
        }
        if (leaving) {
            sayGoodbye(now);
            return;
        }
        for (String name : List.copyOf(condemned.keySet())) {
            if (condemned.get(name).until > now) {
                continue;
            }
            String by = condemned.get(name).by;
            if (roster.get(name).standing() == MemberStatus.CANDIDATE) {
                // What others know of it stays: it may yet be let in.
                roster.release(name);
                gone(now, name, "nobody has let it in again", Change.Kind.OUT);
            } else {
                end(now, name, "told by " + by, Change.Kind.OUT);
            }
        }
        drift(now);
        targets(now);
        for (Link link : links.changed(now)) {
            say(now, link.name, link.lost);
        }
        repeat(now);
        if (rulingOld && now >= ruleAt || now >= verdicts.dueAt()) {
            rule(now);
        }
        targets(now);
        ask(now);
        if (disseminator.hasFresh()) {
            push(now);
        }
        if (now >= sweepAt) {
            sweep(now);
        }
    }

    public void receive(long now, MembershipMessage m) {
        awake(now);
        Peer from = m.from();
        if (outside) {
            return;
        }
        if (from.name().equals(self.name())) {
            if (from.life() != self.life()) {
                rival(now, from);
            }
            return;
        }
        if (m.kind() == Kind.REFUSE) {
            heedRefusal(m);
            return;
        }
        boolean stranger = !roster.isIn(from.name());
        if (leaving || !meet(now, m)) {
            return;
        }
        links.heard(now, from.name());
        m.entries().forEach(e -> learn(now, e, from.name()));
        m.reports().forEach(r -> heed(now, r, from.name()));
        switch (m.kind()) {
            case PING -> answer(now, m);
            case ACK -> {
                answered(now, m);
                compareWith(now, m, stranger);
            }
            case COMPARE -> compare(now, m);
            default -> {}
        }
    }

    /** Later than it asked to be called: it stood still, and what it did not hear is its own fault. */
    private void awake(long now) {
        long late = now - lastEventAt - plan.beatMicros();
        lastEventAt = Math.max(lastEventAt, now);
        if (late > plan.periodMicros() / 2) {
            links.slept(now, late);
            verdicts.slept(late);
            condemned.replaceAll((name, told) -> new RemovalNotice(told.until + late, told.by));
            if (late > plan.graceMicros()) {
                actions.log("stood still for " + late / 1_000 + " ms");
            }
        }
    }

    // ---- Who is who

    /** What a sender says of itself; whether it is the one that has its name. */
    private boolean meet(long now, MembershipMessage m) {
        Peer from = m.from();
        MemberRecord known = roster.get(from.name());
        if (known == null) {
            learn(now, new MemberRecord(from, MemberStatus.CANDIDATE, 0, Map.of(), 0), from.name());
            return roster.get(from.name()) != null;
        }
        if (known.peer().life() == from.life()) {
            if (from.incarnation() > known.incarnation()) {
                learn(
                        now,
                        new MemberRecord(from, MemberStatus.CANDIDATE, known.version(), known.facts(), 0),
                        from.name());
            }
            if (m.kind() == Kind.ACK && contests.answers(from.name(), m.number())) {
                Peer newcomer = contests.close(from.name());
                // The newcomer itself, if others have found out meanwhile that the name is free.
                if (newcomer.life() != from.life()) {
                    refuse(now, newcomer, known.peer());
                }
            }
            return true;
        }
        if (known.standing().ended() && !roster.isIn(from.name())) {
            if (from.incarnation() > known.incarnation()) {
                learn(now, new MemberRecord(from, MemberStatus.CANDIDATE, 0, Map.of(), 0), from.name());
                return true;
            }
            // It has to begin above the one that had its name before, and hears so.
            if (m.kind() == Kind.PING) {
                send(
                        now,
                        from.address(),
                        message(
                                Kind.ACK,
                                from.name(),
                                m.number(),
                                new Load(List.of(roster.told(now, known)), List.of()),
                                ""));
            }
            return false;
        }
        if (m.kind() == Kind.ACK && contests.answers(from.name(), m.number())) {
            contests.close(from.name());
            end(now, from.name(), "another process answers at its address", Change.Kind.OUT);
            disseminator.tell(roster.get(from.name()), "", now + told());
        } else if (contests.open(now, from, plan.periodMicros())) {
            long number = links.ask(now, from.name());
            contests.asked(now, from.name(), number);
            send(now, known.peer().address(), message(Kind.PING, from.name(), number, Load.NONE, ""));
        }
        return false;
    }

    private static String text(Peer peer) {
        return Addresses.text(peer.address());
    }

    /** A process of the own name has written here. */
    private void rival(long now, Peer other) {
        MemberRecord own = roster.get(self.name());
        if (admitted || other.incarnation() == self.incarnation() && !own.yieldsTo(other)) {
            refuse(now, other, self);
        }
    }

    private void refuse(long now, Peer newcomer, Peer holder) {
        send(
                now,
                newcomer.address(),
                message(
                        Kind.REFUSE,
                        newcomer.name(),
                        newcomer.life(),
                        Load.NONE,
                        "name '" + newcomer.name() + "' is taken by the process at " + text(holder)
                                + ", which answers"));
    }

    private void heedRefusal(MembershipMessage m) {
        if (m.number() == self.life() && !admitted) {
            outside = true;
            actions.refused(m.text());
        }
    }

    /** What others think of this process. */
    private void hearOfSelf(long now, MemberRecord e) {
        MemberRecord own = roster.get(self.name());
        boolean same = e.peer().life() == self.life();
        if (e.standing().ended() && e.incarnation() >= self.incarnation()
                || same && e.incarnation() > self.incarnation()) {
            if (!leaving) {
                rise(now, e.incarnation() + 1);
            }
        } else if (same) {
            MemberRecord merged = own.with(e);
            if (merged != own && !leaving) {
                admitted |= merged.standing() == MemberStatus.MEMBER;
                roster.put(now, merged, true);
                disseminator.tell(merged, "", now + told());
            }
        } else if (own.yieldsTo(e.peer())) {
            if (admitted && e.peer().born() > self.born()) {
                outside = true;
                actions.log("name '" + self.name() + "' was taken by the process at " + text(e.peer())
                        + " while this one could not be reached; it takes no part any more");
            }
        } else {
            disseminator.tell(own, "", now + told());
        }
    }

    /** Comes back under a higher incarnation. */
    private void rise(long now, int incarnation) {
        self = self.again(incarnation);
        MemberRecord own = roster.get(self.name());
        links.all().forEach(link -> link.saidAt = 0);
        speakOfSelf(now, new MemberRecord(self, MemberStatus.CANDIDATE, own.version(), own.facts(), 0));
        actions.log("was put out, and comes back as incarnation " + incarnation);
    }

    private void speakOfSelf(long now, MemberRecord own) {
        roster.put(now, own, true);
        changedAt = now;
        disseminator.tell(own, "", now + told());
    }

    // ---- Entries and the view

    /** For how long news ride on other messages. */
    private long told() {
        return 2 * plan.graceMicros();
    }

    private void learn(long now, MemberRecord e, String from) {
        String name = e.name();
        if (name.equals(self.name())) {
            hearOfSelf(now, e);
            return;
        }
        MemberRecord old = roster.get(name);
        if (old == null && (roster.size() >= plan.most() || MemberTable.isStale(e))) {
            return;
        }
        MemberRecord merged = old == null ? e : old.with(e);
        if (merged == old) {
            return;
        }
        boolean was = roster.isIn(name);
        boolean anew = old == null
                || old.incarnation() != merged.incarnation()
                || old.peer().life() != merged.peer().life();
        MemberStatus standing = merged.standing();
        // Whoever is in stays in while it comes back, and until word of its end has had time to be denied.
        boolean held = was && standing != MemberStatus.LEFT;
        roster.put(now, merged, held || standing == MemberStatus.MEMBER);
        changedAt = now;
        disseminator.tell(merged, from, now + told());
        if (anew) {
            reports.forget(name);
            verdicts.forget(name);
            links.renew(now, name);
            condemned.remove(name);
            rulingOld = true;
        }
        if (standing == MemberStatus.CANDIDATE) {
            candidates.putIfAbsent(name, now);
            if (was) {
                condemned.put(name, new RemovalNotice(now + plan.silenceMicros(), from));
            }
        } else {
            candidates.remove(name);
        }
        if (standing == MemberStatus.MEMBER) {
            condemned.remove(name);
        }
        targetsOld |= was != roster.isIn(name) || standing == MemberStatus.CANDIDATE;
        if (standing == MemberStatus.OUT && was) {
            condemned.putIfAbsent(name, new RemovalNotice(now + plan.graceMicros(), from));
        } else if (standing == MemberStatus.LEFT && was) {
            gone(now, name, "said so", Change.Kind.LEFT);
        } else if (!was && standing == MemberStatus.MEMBER) {
            rulingOld = true;
            actions.changed(new Change(
                    merged.incarnation() > 1 ? Change.Kind.BACK : Change.Kind.JOINED,
                    name,
                    merged.incarnation(),
                    "told by " + (from.isEmpty() ? "itself" : from),
                    live()));
        }
    }

    /** By the verdict of this process, or one that it takes over. */
    private void end(long now, String name, String cause, Change.Kind kind) {
        MemberRecord e = roster.get(name);
        if (!e.standing().ended()) {
            e = e.standing(MemberStatus.OUT);
        }
        boolean was = roster.isIn(name);
        roster.put(now, e, false);
        changedAt = now;
        candidates.remove(name);
        if (was) {
            gone(now, name, cause, kind);
        }
    }

    private void gone(long now, String name, String cause, Change.Kind kind) {
        condemned.remove(name);
        reports.forget(name);
        verdicts.forget(name);
        found.remove(name);
        targetsOld = true;
        rulingOld = true;
        actions.changed(new Change(kind, name, roster.get(name).incarnation(), cause, live()));
    }

    /**
     * Who watches whom. While members are being put out that stays as it was: new neighbours would be taken
     * to be in touch until they have been silent for long, so that a cut would be seen part by part.
     */
    private MonitoringRings rings(long now) {
        boolean old = rings == null || ringsOf != roster.fingerprint();
        if (old && (rings == null || now >= calmAt || now >= frozenUntil)) {
            ringsOf = roster.fingerprint();
            rings = cache.of(ringsOf, roster::view);
            targetsOld = true;
        }
        return rings;
    }

    /** Members are lost now; bounded, so that a cut that comes and goes does not hold up the rest. */
    private void trouble(long now) {
        if (now >= calmAt) {
            frozenUntil = now + 2 * plan.silenceMicros();
        }
        calmAt = now + 2 * plan.graceMicros();
    }

    /** Whom this process watches: its neighbours, those that would be, and those found otherwise. */
    private void targets(long now) {
        MonitoringRings around = rings(now);
        if (!targetsOld) {
            return;
        }
        targetsOld = false;
        Set<String> names = new TreeSet<>(around.around(self.name()));
        names.addAll(found.keySet());
        names.removeIf(name -> !roster.isIn(name));
        for (String candidate : candidates.keySet()) {
            if (around.around(candidate).contains(self.name())) {
                names.add(candidate);
            }
        }
        names.remove(self.name());
        links.watch(now, names);
    }

    // ---- Reports and verdicts

    private void say(long now, String name, boolean lost) {
        MemberRecord e = roster.get(name);
        if (e == null || !roster.isIn(name)) {
            return;
        }
        FailureReport report =
                new FailureReport(self.name(), self.incarnation(), name, e.incarnation(), ++sayings, lost);
        Link link = links.get(name);
        if (link != null) {
            link.saidAt = now;
        }
        reports.take(now, report);
        disseminator.tell(report, "", now + told());
        rulingOld = true;
    }

    /** What holds on is said again, so that nobody forgets it. */
    private void repeat(long now) {
        for (Link link : links.all()) {
            if (now - link.saidAt > FailureReports.REPEAT * plan.periodMicros()) {
                boolean answers = !link.lost
                        && reports.on(link.name).stream()
                                .anyMatch(r -> r.lost() && !r.reporter().equals(self.name()));
                if (link.lost || answers && links.inTouch(now, link.name) || found.containsKey(link.name)) {
                    say(now, link.name, link.lost);
                }
            }
        }
    }

    private void heed(long now, FailureReport r, String from) {
        MemberRecord about = roster.get(r.about());
        MemberRecord reporter = roster.get(r.reporter());
        if (about == null
                || reporter == null
                || r.reporter().equals(self.name())
                || about.incarnation() != r.aboutIncarnation()
                || !roster.isIn(r.about())
                || reporter.incarnation() != r.reporterIncarnation()
                || !reports.take(now, r)) {
            return;
        }
        rulingOld = true;
        disseminator.tell(r, from, now + told());
        FailureReport mine = reports.by(self.name(), r.about());
        if (r.lost()
                && links.inTouch(now, r.about())
                && (mine == null || mine.lost() || now - links.get(r.about()).saidAt > plan.graceMicros())) {
            say(now, r.about(), false);
        }
    }

    /** Whoever was put out has no say on others, lest its loss of touch become theirs through a friend. */
    private void drift(long now) {
        boolean asks = roster.get(self.name()).standing() == MemberStatus.CANDIDATE;
        if (!asks) {
            askingSince = now;
        }
        boolean lost = roster.live() > 1 && now - askingSince > plan.silenceMicros();
        if (lost != adrift) {
            adrift = lost;
            actions.log(lost ? "no member has let this process in; it takes itself to be alone" : "a member again");
        }
    }

    private void rule(long now) {
        rulingOld = false;
        if (roster.get(self.name()).standing() == MemberStatus.CANDIDATE) {
            looked = Set.of();
            verdicts.clear();
            return;
        }
        // Words come in showers, and each ruling walks the whole view.
        ruleAt = now + 2 * plan.beatMicros();
        if (reports.none() && verdicts.dueAt() == Long.MAX_VALUE) {
            looked = Set.of();
            return;
        }
        Ruling ruling = verdicts.rule(now, rings(now), self.name(), roster, reports);
        looked = ruling.missing();
        if (!looked.isEmpty() || !ruling.out().isEmpty()) {
            trouble(now);
        }
        for (String name : ruling.out()) {
            List<String> by = new ArrayList<>();
            reports.on(name).stream().filter(FailureReport::lost).forEach(r -> by.add(r.reporter()));
            by.sort(null);
            end(now, name, by.isEmpty() ? "out of reach" : "lost by " + String.join(", ", by), Change.Kind.OUT);
            if (ruling.out().size() <= FEW_ENDS) {
                disseminator.tell(roster.get(name), "", now + told());
            }
        }
    }

    // ---- Questions and answers

    private MembershipMessage message(Kind kind, String to, long number, Load load, String text) {
        return new MembershipMessage(
                kind, self, to, number, roster.digest(), load.entries(), load.reports(), List.of(), text);
    }

    private void send(long now, InetSocketAddress to, MembershipMessage m) {
        int bare = BARE + 3 * m.text().length() + 6 * m.buckets().size();
        int load = 0;
        for (MemberRecord e : m.entries()) {
            load += e.size();
        }
        for (FailureReport r : m.reports()) {
            load += r.size();
        }
        boolean asks = m.kind() == Kind.PING || m.kind() == Kind.ACK;
        if (!asks && telling.spend(now, bare + load) || asks && asking.spend(now, bare)) {
            // Questions and answers go out even where there is no allowance for what rides on them.
            actions.send(to, !asks || load == 0 || telling.spend(now, load) ? m : m.bare());
        } else {
            dropped++;
        }
    }

    private void ping(long now, String name) {
        MemberRecord e = roster.get(name);
        if (e != null) {
            send(
                    now,
                    e.peer().address(),
                    message(Kind.PING, name, links.ask(now, name), disseminator.ride(now, roster, name), ""));
        }
    }

    private void ask(long now) {
        for (Link link : List.copyOf(links.all())) {
            if (now >= link.dueAt) {
                ping(now, link.name);
            }
        }
        if (!looked.isEmpty() && now >= lookAt) {
            lookAt = now + 2 * plan.beatMicros();
            List<String> names = List.copyOf(looked);
            for (int i = 0; i < Math.min(LOOKS, names.size()); i++) {
                ping(now, names.get(random.nextInt(names.size())));
            }
        }
        if (now >= seedAt) {
            knockAtSeeds(now);
        }
        if (now >= knockAt) {
            knockAt = now + 2 * plan.periodMicros() + random.nextLong(plan.periodMicros());
            List<MemberRecord> lost = roster.lost();
            if (!lost.isEmpty() && random.nextDouble() < KNOCKS / live()) {
                knock(now, lost.get(random.nextInt(lost.size())).peer().address());
            }
        }
    }

    /** Whoever is alone asks all seeds; others ask one now and then that is none of them. */
    private void knockAtSeeds(long now) {
        boolean alone = roster.live() == 1;
        seedAt = now + (alone ? plan.periodMicros() : 10 * plan.periodMicros()) + random.nextLong(plan.periodMicros());
        Set<InetSocketAddress> known = new HashSet<>();
        known.add(self.address());
        if (!alone) {
            for (MemberRecord e : roster.all()) {
                if (roster.isIn(e.name())) {
                    known.add(e.peer().address());
                }
            }
        }
        List<InetSocketAddress> others =
                plan.seeds().stream().filter(s -> !known.contains(s)).toList();
        if (alone) {
            others.forEach(seed -> knock(now, seed));
        } else if (!others.isEmpty()) {
            knock(now, others.get(random.nextInt(others.size())));
        }
    }

    private void knock(long now, InetSocketAddress to) {
        send(
                now,
                to,
                message(Kind.PING, "", links.ask(now, ""), new Load(List.of(roster.get(self.name())), List.of()), ""));
    }

    private void answer(long now, MembershipMessage m) {
        Peer from = m.from();
        MemberRecord known = roster.get(from.name());
        Load load = disseminator.ride(now, roster, from.name());
        if (known != null && known.standing().ended() && known.incarnation() >= from.incarnation()) {
            // It may not know that it was put out.
            List<MemberRecord> first = new ArrayList<>(List.of(roster.told(now, known)));
            load.entries().stream().limit(4).forEach(first::add);
            load = new Load(first, List.of());
        }
        send(now, from.address(), message(Kind.ACK, from.name(), m.number(), load, ""));
    }

    private void answered(long now, MembershipMessage m) {
        String name = m.from().name();
        MemberRecord known = roster.get(name);
        if (links.answered(m.number(), name) < 0
                || known == null
                || known.incarnation() != m.from().incarnation()) {
            return;
        }
        if (known.standing() == MemberStatus.CANDIDATE && links.get(name) != null) {
            learn(now, known.standing(MemberStatus.MEMBER), "");
        }
        if (looked.contains(name) && roster.isIn(name)) {
            found.put(name, now + FailureReports.REPEAT * plan.periodMicros());
            targetsOld = true;
            targets(now);
            say(now, name, false);
        }
    }

    // ---- What others know besides

    private void compareWith(long now, MembershipMessage m, boolean stranger) {
        if (m.digest() == roster.digest()) {
            agreedAt = now;
        } else if (now >= compareAt
                && (stranger
                        || agreedAt == Long.MIN_VALUE
                        || now - changedAt > 2 * plan.periodMicros()
                        || now - agreedAt > 8 * plan.periodMicros())) {
            compareAt = now + 2 * plan.beatMicros();
            sendParts(now, m.from(), 1);
        }
    }

    private void sendParts(long now, Peer to, long number) {
        send(
                now,
                to.address(),
                new MembershipMessage(
                        Kind.COMPARE,
                        self,
                        to.name(),
                        number,
                        roster.digest(),
                        List.of(roster.get(self.name())),
                        List.of(),
                        roster.buckets(),
                        ""));
    }

    private void compare(long now, MembershipMessage m) {
        List<MemberRecord> page = new ArrayList<>();
        int room = MembershipMessage.ROOM;
        int pages = 0;
        for (MemberRecord e : roster.beyond(m.buckets(), random.nextInt(MembershipMessage.PARTS))) {
            if (e.size() > room) {
                send(now, m.from().address(), message(Kind.NEWS, m.from().name(), 0, new Load(page, List.of()), ""));
                page = new ArrayList<>();
                room = MembershipMessage.ROOM;
                if (++pages == PAGES) {
                    break;
                }
            }
            room -= e.size();
            page.add(roster.told(now, e));
        }
        if (!page.isEmpty()) {
            send(now, m.from().address(), message(Kind.NEWS, m.from().name(), 0, new Load(page, List.of()), ""));
        }
        if (m.number() == 1) {
            sendParts(now, m.from(), 0);
        }
    }

    private void push(long now) {
        for (Link link : links.all()) {
            MemberRecord to = roster.get(link.name);
            for (Load load : disseminator.push(now, roster, link.name)) {
                send(now, to.peer().address(), message(Kind.NEWS, link.name, 0, load, ""));
            }
        }
        disseminator.pushed(now);
    }

    private void sayGoodbye(long now) {
        if (leaves++ >= 3) {
            return;
        }
        Load own = new Load(List.of(roster.get(self.name())), List.of());
        for (Link link : links.all()) {
            send(now, roster.get(link.name).peer().address(), message(Kind.NEWS, link.name, 0, own, ""));
        }
    }

    private void sweep(long now) {
        sweepAt = now + 2 * plan.periodMicros();
        rulingOld |= reports.fade(now, plan.periodMicros());
        disseminator.expire(now);
        links.expire(now);
        roster.expire(now);
        contests.expire(now, 4 * plan.silenceMicros());
        if (found.values().removeIf(until -> now > until)) {
            targetsOld = true;
        }
        for (Map.Entry<String, Long> asking : Map.copyOf(candidates).entrySet()) {
            if (now - asking.getValue() > MemberTable.TOLD_MICROS) {
                end(now, asking.getKey(), "nobody has let it in", Change.Kind.OUT);
            }
        }
    }
}
