package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cypressweir.fleet.lease.LeaseMessage.Kind;

/**
 * One keeper's grants. It grants a lease to one holder at a time, and each new grant has a higher token than
 * all that it knows of. All in memory: one that starts anew says nothing for as long as any grant of before
 * may be used, and then learns from most of the others how high tokens were. Any two majorities have a keeper
 * in common, so at any moment one process has grants of most, and tokens only rise.
 */
final class LeaseGrantor {

    /** Leases that are kept, at most; so much memory may others cost. */
    static final int MOST_LEASES = 1_000;
    /** Tokens of one start, at most: so far apart are floors of two milliseconds. */
    private static final int FLOOR_SHIFT = 20;
    /** The beginning of 2026. */
    private static final long EPOCH_MILLIS = 1_767_225_600_000L;

    private static final long LEARN_EVERY_MICROS = 200_000;
    /** After so long without the others a clock of the wall is believed, where the plan allows that. */
    private static final int LEARNING_TERMS = 5;

    private static final long KNOWN = 1;
    private static final long FORGOTTEN = 0;

    /**
     * A grant, also one that has run out or was given back.
     *
     * @param number of the last that its holder asked or gave back, so that what comes late changes nothing
     */
    private record Grant(String holder, long token, long until, long number) {}

    private LeaseOptions plan;
    private final InetSocketAddress own;
    /** Below which no token may be that this keeper grants without having learned from others. */
    private final long floor;

    private final long silentUntil;
    private final Map<String, Grant> grants = new HashMap<>();
    private final Map<String, Long> tops = new HashMap<>();
    /** Keepers that knew, and those that have forgotten, too. */
    private final Set<InetSocketAddress> learnedFrom = new HashSet<>();

    private final Set<InetSocketAddress> forgetful = new HashSet<>();
    /** Pages of what each has told, of the question asked last. */
    private final Map<InetSocketAddress, Set<String>> heard = new HashMap<>();
    /** Whether it may say anything of tokens, and whether it knows them and not only a floor. */
    private boolean knows;

    private boolean complete;
    private long learnAt;
    private final long giveUpLearningAt;

    /** @param unixMillis wall clock at the start, a floor for tokens where nobody is left who knows them */
    LeaseGrantor(long now, LeaseOptions plan, InetSocketAddress own, long unixMillis) {
        this.plan = plan;
        this.own = own;
        floor = Math.max(0, unixMillis - EPOCH_MILLIS) << FLOOR_SHIFT;
        silentUntil = now + plan.kept(plan.mostTermMicros());
        learnAt = silentUntil;
        giveUpLearningAt = silentUntil + LEARNING_TERMS * plan.mostTermMicros();
    }

    void retune(LeaseOptions next) {
        plan = next;
    }

    /** The same in all that it knows, for walks over all that may come next. */
    LeaseGrantor copy() {
        LeaseGrantor copy = new LeaseGrantor(silentUntil - plan.kept(plan.mostTermMicros()), plan, own, 0);
        copy.grants.putAll(grants);
        copy.tops.putAll(tops);
        copy.learnedFrom.addAll(learnedFrom);
        copy.forgetful.addAll(forgetful);
        heard.forEach((from, pages) -> copy.heard.put(from, new HashSet<>(pages)));
        copy.knows = knows;
        copy.complete = complete;
        copy.learnAt = learnAt;
        return copy;
    }

    /** All that decides what it does from now on; floors are not, so a walk leaves clocks of the wall out. */
    void state(long now, StateText text) {
        StringBuilder its = new StringBuilder()
                .append(text.after(now, silentUntil))
                .append(knows)
                .append(complete);
        if (!knows) {
            its.append(text.after(now, learnAt)).append(learnedFrom.size()).append(forgetful.size());
        }
        grants.forEach((lease, g) -> {
            if (g.until > now) {
                its.append(' ').append(lease).append(g.holder).append(g.until - now);
            } else {
                // Whoever had it last may go on with it.
                its.append(' ').append(lease).append(g.holder);
            }
        });
        text.of(own, its.toString());
        grants.values().forEach(g -> text.tokenOf(own, g.token));
        tops.values().forEach(t -> text.tokenOf(own, t));
    }

    /** What it has to ask the others, if anything, so as to know tokens again. */
    boolean asksOthers(long now) {
        if (knows || now < learnAt) {
            return false;
        }
        if (plan.wallClock() && now >= giveUpLearningAt) {
            // Most can't be asked: what is left is that clocks of the wall have gone on.
            knows = true;
            return false;
        }
        learnAt = now + LEARN_EVERY_MICROS;
        heard.clear();
        return true;
    }

    /** What this one knows of tokens, and whether that is all. */
    List<LeaseMessage> teach(LeaseMessage question) {
        return pages(knows ? KNOWN : FORGOTTEN, question, plan.set(), tops);
    }

    /** Tokens by pages, each of which says how many there are. */
    static List<LeaseMessage> pages(long known, LeaseMessage question, long set, Map<String, Long> tops) {
        List<LeaseMessage> pages = new ArrayList<>();
        List<Map.Entry<String, Long>> all = List.copyOf(new TreeMap<>(tops).entrySet());
        int count = Math.max(1, (all.size() + LeaseMessage.MOST_TOPS - 1) / LeaseMessage.MOST_TOPS);
        for (int page = 0; page < count; page++) {
            Map<String, Long> part = new TreeMap<>();
            all.subList(page * LeaseMessage.MOST_TOPS, Math.min(all.size(), (page + 1) * LeaseMessage.MOST_TOPS))
                    .forEach(e -> part.put(e.getKey(), e.getValue()));
            pages.add(
                    new LeaseMessage(Kind.LEARNED, "", page + "/" + count, known, question.number(), count, set, part));
        }
        return pages;
    }

    void learn(InetSocketAddress from, LeaseMessage answer) {
        if (knows || answer.set() != plan.set()) {
            return;
        }
        answer.tops().forEach((lease, top) -> tops.merge(lease, top, Math::max));
        Set<String> pages = heard.computeIfAbsent(from, f -> new HashSet<>());
        pages.add(answer.holder());
        if (!from.equals(own) && pages.size() >= answer.micros()) {
            (answer.token() == KNOWN ? learnedFrom : forgetful).add(from);
        }
        // As many as a majority, without itself: each grant of before is known to one of them.
        complete = plan.most(learnedFrom);
        // Where all others have answered, nobody knows more than what has been heard.
        knows = complete
                || plan.all().stream().allMatch(k -> k.equals(own) || learnedFrom.contains(k) || forgetful.contains(k));
    }

    private long top(String lease) {
        long known = tops.getOrDefault(lease, 0L);
        return complete || !plan.wallClock() ? known : Math.max(known, floor);
    }

    /** A question for a grant; null for no answer. */
    LeaseMessage ask(long now, LeaseMessage w) {
        if (!plan.knows(w.set())) {
            return null;
        }
        if (now < silentUntil || !knows) {
            // It grants nothing, and says so: who hears no answer at all has to take itself to be cut off.
            return LeaseMessage.of(
                    Kind.NO, w.lease(), "", 0, w.number(), Math.max(LEARN_EVERY_MICROS, silentUntil - now), w.set());
        }
        if (w.micros() <= 0
                || w.micros() > plan.mostTermMicros()
                || !tops.containsKey(w.lease()) && tops.size() >= MOST_LEASES) {
            return null;
        }
        Grant held = grants.get(w.lease());
        long top = top(w.lease());
        if (held != null && held.holder.equals(w.holder()) && w.number() <= held.number) {
            return null;
        }
        boolean its = held != null && held.holder.equals(w.holder()) && held.token == w.token();
        boolean free = held == null || held.until <= now || held.holder.equals(w.holder());
        if (its && w.token() == top || free && w.token() > top) {
            grants.put(w.lease(), new Grant(w.holder(), w.token(), now + plan.kept(w.micros()), w.number()));
            tops.put(w.lease(), w.token());
            return LeaseMessage.of(Kind.YES, w.lease(), w.holder(), w.token(), w.number(), 0, w.set());
        }
        return LeaseMessage.of(
                Kind.NO, w.lease(), free ? "" : held.holder, top, w.number(), free ? 0 : held.until - now, w.set());
    }

    /** A grant is given back; its token stays used. */
    void free(long now, LeaseMessage w) {
        Grant held = grants.get(w.lease());
        if (held != null && held.holder.equals(w.holder()) && held.token == w.token() && w.number() > held.number) {
            grants.put(w.lease(), new Grant(held.holder, held.token, Math.min(now, held.until), w.number()));
        }
    }
}
