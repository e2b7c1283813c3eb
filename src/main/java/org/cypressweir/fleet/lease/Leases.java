package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;
import org.cypressweir.fleet.lease.LeaseMessage.Kind;

/**
 * The leases of one process: what it holds, what it asks for, and what it keeps for others where it is a
 * keeper. It is told the time with every event and is called at least once a beat.
 *
 * <p>Two processes never hold a lease at once while clocks' rates differ by less than the plan says and
 * keepers are as many and the same everywhere. A process may be stopped between its question whether it holds
 * and what it does then: only whoever receives that, and refuses a lower token than it has seen, covers this.
 */
public final class Leases {

    /** What the process does; none of it reaches back into this object within the call. */
    public interface Actions {
        void send(InetSocketAddress to, LeaseMessage word);

        /** This process holds a lease from now on. */
        void began(String lease, long token);

        /** It does not any more. */
        void ended(String lease, long token, String why);
    }

    /** Whether this process may act now, under which token, and for how long it holds yet. */
    public record Verdict(boolean acting, long token, long leftMicros) {}

    /** How a lease stands as this process knows; the holder is empty for nobody. */
    public record Status(String holder, boolean held, long token, long leftMicros) {}

    /** From the first to the second of those that come next, where the first should have asked. */
    private static final long STEP_MICROS = 100_000;
    /** Those that look each time a lease runs out; of the others each looks the more seldom. */
    private static final int WATCHING = 3;
    /** A lease is left to whoever should have it once that has been the same for so many terms. */
    private static final int SETTLED_TERMS = 2;
    /** Members that a keeper which has forgotten all asks besides the others. */
    private static final int LEARNED_FROM = 32;

    private static final int MOST_DOUBLINGS = 10;
    /** Those told when a holder goes. */
    private static final int HINTED = 2;

    private LeaseOptions plan;
    private final InetSocketAddress own;
    private final String name;
    private final String holder;
    private final Actions actions;
    /** A number from 0 to below another, drawn. */
    private final LongUnaryOperator draw;

    private final long unixMillis;
    private final Map<String, LeaseClient> claimants = new TreeMap<>();
    /** Null where this process is none. */
    private LeaseGrantor keeper;

    private Map<String, InetSocketAddress> members = Map.of();
    private Preference preference;
    /** Since when somebody else should have what this process holds. */
    private final Map<String, Long> strangeSince = new TreeMap<>();
    /** To whom each was left the last time, and how often in a row. */
    private final Map<String, String> leftTo = new TreeMap<>();

    private final Map<String, Integer> leftTimes = new TreeMap<>();
    private long number;
    private boolean leaving;
    private long lastTickAt;

    /**
     * @param life tells this life of the process from others of its name
     * @param unixMillis wall clock, of which nothing but a floor for tokens hangs
     */
    public Leases(
            long now,
            LeaseOptions plan,
            InetSocketAddress own,
            String name,
            String life,
            long unixMillis,
            long seed,
            Actions actions) {
        this(now, plan, own, name, life, unixMillis, new SplittableRandom(seed)::nextLong, actions);
    }

    /** With what is drawn told from outside: a number from 0 to below another. */
    public Leases(
            long now,
            LeaseOptions plan,
            InetSocketAddress own,
            String name,
            String life,
            long unixMillis,
            LongUnaryOperator draw,
            Actions actions) {
        this.plan = plan;
        this.own = own;
        this.name = name;
        this.unixMillis = unixMillis;
        this.draw = draw;
        this.actions = actions;
        holder = name + '/' + life;
        number = now;
        lastTickAt = now;
        keeper = plan.all().contains(own) ? new LeaseGrantor(now, plan, own, unixMillis) : null;
        claim(now);
        members(Map.of(name, own));
    }

    /** The same in all that it knows, for walks over all that may come next. */
    public Leases copy(Actions to) {
        String life = holder.substring(holder.lastIndexOf('/') + 1);
        Leases copy = new Leases(lastTickAt, plan, own, name, life, unixMillis, draw, to);
        claimants.forEach((lease, c) -> copy.claimants.put(lease, c.copy(draw, copy.new Turn())));
        copy.keeper = keeper == null ? null : keeper.copy();
        copy.members = members;
        copy.preference = preference;
        copy.strangeSince.putAll(strangeSince);
        copy.leftTo.putAll(leftTo);
        copy.leftTimes.putAll(leftTimes);
        copy.number = number;
        copy.leaving = leaving;
        return copy;
    }

    /** All that decides what it does from now on. */
    public void state(long now, StateText text) {
        text.name(name);
        text.add(leaving ? "leaves" : "stays", now - lastTickAt);
        strangeSince.forEach((lease, since) -> text.add(lease, now - since));
        leftTimes.forEach((lease, times) -> text.add(leftTo.get(lease), times));
        if (!leaving) {
            claimants.values().forEach(c -> c.state(now, text));
        }
        if (keeper != null) {
            keeper.state(now, text);
        }
    }

    /** What an answer to a question of before would be taken for. */
    public void state(long now, String lease, long question, StateText text) {
        claimants.get(lease).state(now, question, text);
    }

    private void claim(long now) {
        claimants.keySet().removeIf(lease -> !plan.terms().containsKey(lease));
        plan.terms()
                .forEach((lease, term) -> claimants.computeIfAbsent(
                        lease,
                        l -> new LeaseClient(
                                now, l, holder, plan, now + 1 + draw.applyAsLong(STEP_MICROS), draw, new Turn())));
    }

    private final class Turn implements LeaseClient.Out {
        @Override
        public void tell(LeaseMessage word) {
            plan.all().forEach(k -> actions.send(k, word));
        }

        @Override
        public void began(String lease, long token) {
            actions.began(lease, token);
        }

        @Override
        public void ended(String lease, long token, String why) {
            actions.ended(lease, token, why);
        }

        /** Tells those that come next, one a step behind the other. */
        @Override
        public void freed(String lease, long token) {
            long after = 0;
            for (String next : preference.firsts(lease, HINTED + 1)) {
                if (!next.equals(name) && after < HINTED * STEP_MICROS) {
                    actions.send(
                            members.get(next),
                            LeaseMessage.of(Kind.HINT, lease, holder, token, ++number, after, plan.set()));
                    after += STEP_MICROS;
                }
            }
        }
    }

    /** Those that live as this process sees it, itself among them: whom to prefer, and nothing else. */
    public void members(Map<String, InetSocketAddress> living) {
        if (!living.equals(members)) {
            members = Map.copyOf(living);
            preference = new Preference(plan.terms().keySet(), members.keySet());
        }
    }

    /**
     * Other keepers or leases hold from now on; the reason where that can't be, and nothing has changed then.
     * What is held of a lease that is gone is given up.
     */
    public String retune(long now, LeaseOptions next) {
        String why = next.unsafeAfter(plan);
        if (why != null) {
            return why;
        }
        for (Map.Entry<String, LeaseClient> c : claimants.entrySet()) {
            Long term = next.terms().get(c.getKey());
            if (term == null || !term.equals(plan.terms().get(c.getKey()))) {
                c.getValue().giveUp(now, "its settings have changed");
            }
        }
        plan = next;
        if (!plan.all().contains(own)) {
            keeper = null;
        } else if (keeper == null) {
            keeper = new LeaseGrantor(now, plan, own, unixMillis);
        } else {
            keeper.retune(plan);
        }
        claim(now);
        claimants.values().forEach(c -> c.retune(plan));
        preference = new Preference(plan.terms().keySet(), members.keySet());
        return null;
    }

    /** To be called each beat; late calls tell that this process stood still. */
    public void tick(long now) {
        long late = now - lastTickAt;
        lastTickAt = now;
        if (keeper != null && keeper.asksOthers(now)) {
            LeaseMessage learn = LeaseMessage.of(Kind.LEARN, "", holder, 0, ++number, 0, plan.set());
            Set<InetSocketAddress> asked = new LinkedHashSet<>(plan.all());
            // Whoever has held a lease, or asked for it, knows a token too; most keepers are what counts.
            members.values().stream().limit(LEARNED_FROM).forEach(asked::add);
            asked.remove(own);
            asked.forEach(k -> actions.send(k, learn));
        }
        int held = (int) claimants.values().stream().filter(c -> c.holds(now)).count();
        for (Map.Entry<String, LeaseClient> entry : claimants.entrySet()) {
            String lease = entry.getKey();
            LeaseClient c = entry.getValue();
            if (late > plan.terms().get(lease) / 2) {
                // It slept: others may have been given what it held, and do not have to wait for the rest.
                c.giveUp(now, "this process stood still for " + late / 1_000 + " ms");
            }
            c.tick(now, !leaving, delay(lease, held));
            if (c.holds(now)) {
                wander(now, lease, c);
            }
        }
    }

    /** What this process leaves to those that come before it. */
    private long delay(String lease, int held) {
        int rank = preference.rank(lease, name);
        long term = plan.terms().get(lease);
        long delay = rank < WATCHING ? rank * STEP_MICROS : term * rank / 2;
        return rank > 0 && held >= preference.most() ? delay + term : delay;
    }

    /** Leaves a lease to whoever should have it, once that one has been there for a while. */
    private void wander(long now, String lease, LeaseClient c) {
        String first = preference.first(lease);
        if (first.equals(name) || first.isEmpty()) {
            strangeSince.remove(lease);
            return;
        }
        // Whoever did not take it the last time is waited for longer: nobody knows why.
        int before = first.equals(leftTo.get(lease)) ? leftTimes.getOrDefault(lease, 0) : 0;
        long settled = SETTLED_TERMS * plan.terms().get(lease) << Math.min(before * 2, MOST_DOUBLINGS);
        if (now - strangeSince.computeIfAbsent(lease, l -> now) > settled) {
            strangeSince.remove(lease);
            leftTo.put(lease, first);
            leftTimes.put(lease, before + 1);
            c.giveUp(now, "left to " + first);
        }
    }

    /** Goes: gives up all that it holds, tells who comes next, and asks for nothing any more. */
    public void leave(long now, String why) {
        leaving = true;
        claimants.values().forEach(c -> c.giveUp(now, why));
    }

    /** Whether all that was given up is free for others. */
    public boolean quiet() {
        return claimants.values().stream().noneMatch(LeaseClient::owes);
    }

    /** Takes part again after a leave that was called off. */
    public void stay() {
        leaving = false;
    }

    /** A word of another process, whose address it has said itself. */
    public void receive(long now, InetSocketAddress from, LeaseMessage w) {
        switch (w.kind()) {
            case ASK -> {
                LeaseMessage answer = keeper == null ? null : keeper.ask(now, w);
                if (answer != null) {
                    actions.send(from, answer);
                }
            }
            case FREE -> {
                if (keeper != null) {
                    keeper.free(now, w);
                }
            }
            case LEARN -> {
                List<LeaseMessage> answers = keeper == null ? seen(w) : keeper.teach(w);
                answers.forEach(a -> actions.send(from, a));
            }
            case LEARNED -> {
                if (keeper != null) {
                    keeper.learn(from, w);
                }
            }
            default -> {
                LeaseClient c = claimants.get(w.lease());
                if (c == null) {
                    return;
                }
                if (w.kind() == Kind.HINT) {
                    c.hint(now, w.token(), w.micros());
                } else if (plan.all().contains(from)) {
                    c.answer(now, from, w, delay(w.lease(), 0));
                }
            }
        }
    }

    /** What a process that is no keeper knows of tokens. */
    private List<LeaseMessage> seen(LeaseMessage question) {
        Map<String, Long> tops = new TreeMap<>();
        claimants.forEach((lease, c) -> tops.put(lease, c.seen()));
        return LeaseGrantor.pages(0, question, plan.set(), tops);
    }

    /** To be asked before every act, with the longest time that the act takes. */
    public Verdict acting(long now, String lease, long actMicros) {
        LeaseClient c = claimants.get(lease);
        long left = c == null ? 0 : c.left(now);
        return new Verdict(left > actMicros, left > 0 ? c.token() : 0, left);
    }

    /**
     * The same for somebody outside this process, who may act for as long as is said here without asking
     * again: until then the lease is not handed on.
     */
    public Verdict promise(long now, String lease, long mostMicros) {
        LeaseClient c = claimants.get(lease);
        long left = c == null ? 0 : c.promise(now, mostMicros);
        return new Verdict(left > 0, left > 0 ? c.token() : 0, left);
    }

    /** Something that was acted upon has seen a higher token: the next grant has to be above it. */
    public void refusedBelow(String lease, long token) {
        LeaseClient c = claimants.get(lease);
        if (c != null) {
            c.heardOf(token);
        }
    }

    /** All leases that the plan names. */
    public Map<String, Status> status(long now) {
        Map<String, Status> all = new TreeMap<>();
        claimants.forEach((lease, c) -> {
            String by = c.holder(now);
            all.put(
                    lease,
                    new Status(
                            by.substring(0, Math.max(0, by.lastIndexOf('/'))),
                            c.holds(now),
                            c.holds(now) ? c.token() : 0,
                            c.holds(now) ? c.left(now) : c.otherLeft(now)));
        });
        return all;
    }
}
