package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import org.cypressweir.fleet.lease.LeaseMessage.Kind;

/**
 * One process and one lease. It holds the lease once most keepers have granted what it asked, for a term that
 * counts from before it asked; it asks again well before the end, and stops by itself where most did not
 * answer.
 */
final class LeaseClient {

    /** Questions whose answers may still come. */
    private static final int ROUNDS = 8;
    /** Renewals in a term: of each keeper three in a row may get lost. */
    private static final int RENEWALS = 5;
    /** Each try that found others at it doubles the time drawn from, up to so many times. */
    private static final int MOST_TRIES = 3;
    /** So many rounds in a row without answers of most are more than loss. */
    private static final int DEAF_ROUNDS = 3;

    private static final int MOST_BIDS = 3;
    private static final long LEAST_ROUND = 20_000;
    private static final long MOST_ROUND = 500_000;

    /** A question of one round and who has said yes and no to it. */
    private static final class AcquisitionAttempt {
        final long askedAt;
        final long token;
        final Set<InetSocketAddress> yes = new HashSet<>();
        /** Keepers that refused, and whom they named as holder; empty for nobody. */
        final Map<InetSocketAddress, String> no = new HashMap<>();
        /** Until when those that refused grant it to another. */
        final Map<InetSocketAddress, Long> takenUntil = new HashMap<>();

        AcquisitionAttempt(long askedAt, long token) {
            this.askedAt = askedAt;
            this.token = token;
        }

        AcquisitionAttempt copy() {
            AcquisitionAttempt copy = new AcquisitionAttempt(askedAt, token);
            copy.yes.addAll(yes);
            copy.no.putAll(no);
            copy.takenUntil.putAll(takenUntil);
            return copy;
        }
    }

    /** What one turn asks of the process. */
    interface Out {
        /** To every keeper. */
        void tell(LeaseMessage word);

        void began(String lease, long token);

        void ended(String lease, long token, String why);

        /** What was given up is free for others from now on, as far as this process has a say. */
        void freed(String lease, long token);
    }

    private final String lease;
    private final String holder;
    private final LongUnaryOperator draw;
    private final Out out;
    private LeaseOptions plan;
    private final Map<Long, AcquisitionAttempt> rounds = new HashMap<>();
    /** The number of the last question; rises within a life. */
    private long number;
    /** The round of a claim that is under way; null for none. */
    private AcquisitionAttempt claim;

    private long token;
    /** When what each keeper has granted last, under this token, was asked. */
    private final Map<InetSocketAddress, Long> grantedAt = new HashMap<>();
    /** Until when it holds; at or before now where it does not. */
    private long until = Long.MIN_VALUE;

    private boolean holds;
    private long renewAt;
    private long askAt;
    private int tries;
    /** Times that the claim under way was made anew under a higher token. */
    private int bids;
    /** Rounds in a row that most keepers have not answered. */
    private int silent;
    /** Somebody else was told that this process holds until then, at most. */
    private long promisedUntil = Long.MIN_VALUE;
    /** It has stopped, and what it has promised is not over yet. */
    private boolean owes;
    /** The highest token that it has heard of. */
    private long seen;

    private String other = "";
    private long otherUntil = Long.MIN_VALUE;

    LeaseClient(
            long now,
            String lease,
            String holder,
            LeaseOptions plan,
            long firstAskAt,
            LongUnaryOperator draw,
            Out out) {
        this.lease = lease;
        this.holder = holder;
        this.plan = plan;
        this.draw = draw;
        this.out = out;
        askAt = firstAskAt;
        number = now;
    }

    /** The same in all that it knows, for walks over all that may come next. */
    LeaseClient copy(LongUnaryOperator draws, Out to) {
        LeaseClient copy = new LeaseClient(number, lease, holder, plan, askAt, draws, to);
        rounds.forEach((n, round) -> copy.rounds.put(n, round.copy()));
        copy.claim = rounds.entrySet().stream()
                .filter(e -> e.getValue() == claim)
                .map(Map.Entry::getKey)
                .findFirst()
                .map(copy.rounds::get)
                .orElse(null);
        copy.token = token;
        copy.grantedAt.putAll(grantedAt);
        copy.until = until;
        copy.holds = holds;
        copy.renewAt = renewAt;
        copy.tries = tries;
        copy.promisedUntil = promisedUntil;
        copy.owes = owes;
        copy.bids = bids;
        copy.silent = silent;
        copy.seen = seen;
        copy.other = other;
        copy.otherUntil = otherUntil;
        return copy;
    }

    /**
     * All that decides what it does from now on, with times from now; tokens are told to the collector and
     * stand in the text by their places in it. What is about one keeper is told by its address.
     */
    void state(long now, StateText text) {
        text.add(
                "claimant",
                holds ? Math.max(0, until - now) : -1,
                text.after(now, renewAt),
                text.after(now, askAt),
                tries,
                owes ? text.after(now, promisedUntil) : -1,
                bids,
                silent,
                other.isEmpty() ? 0 : text.after(now, otherUntil));
        text.token(holds || owes ? token : 0);
        text.token(seen);
        text.name(other);
        if (claim != null) {
            text.add("claim", now - claim.askedAt);
            text.token(claim.token);
            claim.yes.forEach(k -> text.of(k, "yes"));
            claim.no.forEach((k, who) -> text.of(k, "no " + who + " " + text.after(now, claim.takenUntil.get(k))));
        }
        if (holds) {
            grantedAt.forEach((k, at) -> {
                if (now - at < term()) {
                    text.of(k, "granted " + (now - at));
                }
            });
        }
    }

    /** What an answer to that question would be taken for. */
    void state(long now, long question, StateText text) {
        AcquisitionAttempt round = rounds.get(question);
        text.add("late", round == null ? -1 : now - round.askedAt, round == claim ? 1 : 0);
        text.token(round == null ? 0 : round.token);
    }

    private long term() {
        return plan.terms().get(lease);
    }

    /** From a question to the time when its answers should be here. */
    private long round() {
        return Math.max(LEAST_ROUND, Math.min(MOST_ROUND, term() / 16));
    }

    void retune(LeaseOptions next) {
        plan = next;
    }

    boolean holds(long now) {
        return holds && now < until;
    }

    long token() {
        return token;
    }

    long left(long now) {
        return holds(now) ? until - now : 0;
    }

    /** What is left of another's, as far as this process has heard. */
    long otherLeft(long now) {
        return holds(now) ? 0 : Math.max(0, otherUntil == Long.MIN_VALUE ? 0 : otherUntil - now);
    }

    /** Who has it as far as this process has heard; empty for nobody. */
    String holder(long now) {
        return holds(now) ? holder : now < otherUntil ? other : "";
    }

    /** The highest token that it has heard of. */
    long seen() {
        return seen;
    }

    /** A token that the receiver of an act has refused this for: the next grant has to be higher. */
    void heardOf(long higher) {
        seen = Math.max(seen, higher);
    }

    /**
     * @param may whether this process may ask for it at all
     * @param delay it leaves to others that come before it
     */
    void tick(long now, boolean may, long delay) {
        if (holds && now >= until) {
            end(now, "its term ran out without most keepers");
            // Keepers may have heard what this process asked, and only their answers were lost.
            free(token);
            unheard(now, DEAF_ROUNDS);
        }
        if (owes) {
            if (now >= promisedUntil) {
                owes = false;
                free(token);
                out.freed(lease, token);
            }
        } else if (holds) {
            if (now >= renewAt) {
                renewAt = now + term() / RENEWALS;
                ask(now, token);
            }
        } else if (claim != null) {
            if (now - claim.askedAt >= round()) {
                boolean heard = answered(claim);
                giveWay(now, 0, delay);
                if (!heard) {
                    unheard(now, 1);
                }
            }
        } else if (may && now >= askAt) {
            bids = 0;
            claim = ask(now, seen + 1);
        }
    }

    private AcquisitionAttempt ask(long now, long wanted) {
        AcquisitionAttempt round = new AcquisitionAttempt(now, wanted);
        rounds.put(++number, round);
        rounds.remove(number - ROUNDS);
        out.tell(LeaseMessage.of(Kind.ASK, lease, holder, wanted, number, term(), plan.set()));
        return round;
    }

    /** An answer of a keeper. */
    void answer(long now, InetSocketAddress keeper, LeaseMessage w, long delay) {
        if (!w.holder().equals(holder) && w.kind() == Kind.YES) {
            return;
        }
        AcquisitionAttempt round = rounds.get(w.number());
        if (round == null) {
            return;
        }
        silent = 0;
        if (w.kind() == Kind.YES) {
            if (w.token() == round.token) {
                granted(now, keeper, round);
            }
            return;
        }
        seen = Math.max(seen, w.token());
        round.no.put(keeper, w.holder());
        round.takenUntil.put(keeper, now + w.micros());
        if (w.micros() > 0 && named(round, w.holder())) {
            other = w.holder();
            otherUntil = now + w.micros();
        }
        if (round != claim) {
            return;
        }
        if (w.micros() == 0 && w.token() >= round.token && bids < MOST_BIDS) {
            // Only the token was too low. What is granted under it goes over to the higher one.
            bids++;
            claim = ask(now, seen + 1);
        } else if (refused(round)) {
            giveWay(now, Math.max(0, otherUntil - now), delay);
        }
    }

    private void granted(long now, InetSocketAddress keeper, AcquisitionAttempt round) {
        round.yes.add(keeper);
        if (round == claim) {
            if (plan.most(round.yes) && now < round.askedAt + term()) {
                claim = null;
                tries = 0;
                holds = true;
                token = round.token;
                seen = Math.max(seen, token);
                grantedAt.clear();
                round.yes.forEach(k -> grantedAt.put(k, round.askedAt));
                until = round.askedAt + term();
                renewAt = round.askedAt + term() / RENEWALS;
                out.began(lease, token);
            }
        } else if (holds && round.token == token) {
            grantedAt.merge(keeper, round.askedAt, Math::max);
            until = Math.max(until, grantedByMost() + term());
        }
    }

    /** Most keepers have granted what was asked then or later, each in whatever round. */
    private long grantedByMost() {
        long best = Long.MIN_VALUE / 2;
        for (long at : grantedAt.values()) {
            Set<InetSocketAddress> by = new HashSet<>();
            grantedAt.forEach((keeper, asked) -> {
                if (asked >= at) {
                    by.add(keeper);
                }
            });
            best = plan.most(by) ? Math.max(best, at) : best;
        }
        return best;
    }

    /** Whether most keepers say that this one holds: a grant of one or two may be given back any moment. */
    private boolean named(AcquisitionAttempt round, String who) {
        Set<InetSocketAddress> by = new HashSet<>();
        round.no.forEach((keeper, named) -> {
            if (named.equals(who)) {
                by.add(keeper);
            }
        });
        return plan.most(by);
    }

    /** When most keepers will be free, as those that answered say; long past where they are. */
    private long mostFreeAt(AcquisitionAttempt round) {
        long best = Long.MAX_VALUE;
        for (long at : round.takenUntil.values()) {
            Set<InetSocketAddress> by = new HashSet<>(round.yes);
            round.takenUntil.forEach((keeper, until) -> {
                if (until <= at) {
                    by.add(keeper);
                }
            });
            best = plan.most(by) ? Math.min(best, at) : best;
        }
        return best == Long.MAX_VALUE ? Long.MIN_VALUE : best;
    }

    /** Whether most can't say yes any more. */
    private boolean refused(AcquisitionAttempt round) {
        Set<InetSocketAddress> left = new HashSet<>(plan.all());
        left.removeAll(round.no.keySet());
        return !plan.most(left);
    }

    /** Whether answers of most have come, whatever they say. */
    private boolean answered(AcquisitionAttempt round) {
        Set<InetSocketAddress> all = new HashSet<>(round.yes);
        all.addAll(round.no.keySet());
        return plan.most(all);
    }

    /** Keepers may hear this process, and it does not hear them: it must not keep others out. */
    private void unheard(long now, int rounds) {
        silent = Math.min(silent + rounds, DEAF_ROUNDS + MOST_TRIES);
        if (silent >= DEAF_ROUNDS) {
            askAt = now + (term() << silent - DEAF_ROUNDS) + draw.applyAsLong(term());
        }
    }

    /** Gives up a claim: what was granted is free for others at once, and they are let go first. */
    private void giveWay(long now, long wait, long delay) {
        free(claim.token);
        // Those that wait for the same end need not wait for each other as well.
        tries = wait > 0 ? 0 : Math.min(tries + 1, MOST_TRIES);
        askAt = now + wait + delay + 1 + draw.applyAsLong(round() / 2 << tries);
        long soon = mostFreeAt(claim);
        if (wait == 0 && soon > now) {
            askAt = Math.min(askAt, soon + 1 + draw.applyAsLong(round() / 2));
        }
        claim = null;
    }

    private void free(long which) {
        out.tell(LeaseMessage.of(Kind.FREE, lease, holder, which, ++number, 0, plan.set()));
    }

    private void end(long now, String why) {
        holds = false;
        until = Long.MIN_VALUE;
        rounds.clear();
        askAt = now + round() + draw.applyAsLong(round());
        out.ended(lease, token, why);
    }

    /**
     * Stops at once, so that others may begin before the term is over: now, or when what was promised of it
     * has ended.
     */
    void giveUp(long now, String why) {
        if (claim != null) {
            giveWay(now, term(), 0);
        }
        if (holds) {
            end(now, why);
            askAt = now + term();
            owes = promisedUntil > now;
            if (!owes) {
                free(token);
                out.freed(lease, token);
            }
        }
    }

    /** Whether it has stopped and could not say so to the keepers yet. */
    boolean owes() {
        return owes;
    }

    /** For how long somebody outside this process may act, at most so long; it stays free for no other. */
    long promise(long now, long most) {
        long promised = Math.min(left(now), most);
        if (promised > 0) {
            promisedUntil = Math.max(promisedUntil, now + promised);
        }
        return promised;
    }

    /** Another has gone and says that this process comes next. */
    void hint(long now, long higher, long delay) {
        seen = Math.max(seen, higher);
        if (!holds && claim == null) {
            tries = 0;
            askAt = now + Math.min(term(), delay);
        }
    }
}
