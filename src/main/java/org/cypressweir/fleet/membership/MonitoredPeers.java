package org.cypressweir.fleet.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The contact of this process with those that it watches. Contact is an answer to its own question, and
 * counts from when that was asked; what was heard unasked is none, for the way there may be cut.
 */
final class MonitoredPeers {

    /** One that is watched. */
    static final class Link {
        final String name;
        /** When the last question was asked that was answered; when the next is due. */
        long contactAt;

        long dueAt;
        private long askedAt;
        /** What was last said of it to others; null before the first word. */
        boolean lost;

        int number;
        long saidAt;

        Link(String name, long now, long dueAt) {
            this.name = name;
            contactAt = now;
            this.dueAt = dueAt;
        }
    }

    private record Asked(String name, long at) {}

    private MembershipOptions plan;
    private final SplittableRandom random;
    private final Map<String, Link> links = new TreeMap<>();
    /** Questions without an answer, by number. */
    private final Map<Long, Asked> asked = new HashMap<>();

    private long numbers;

    MonitoredPeers(MembershipOptions plan, SplittableRandom random) {
        this.plan = plan;
        this.random = random;
    }

    void retune(MembershipOptions next) {
        plan = next;
    }

    Collection<Link> all() {
        return links.values();
    }

    Link get(String name) {
        return links.get(name);
    }

    /** From now on these are watched; contact with new ones counts from now, so that nobody is accused. */
    void watch(long now, Set<String> names) {
        links.keySet().retainAll(names);
        for (String name : names) {
            links.computeIfAbsent(name, n -> new Link(n, now, now + random.nextLong(plan.periodMicros())));
        }
    }

    /** Another incarnation of it is there: what was known of the one before is void. */
    void renew(long now, String name) {
        Link link = links.get(name);
        if (link != null) {
            link.lost = false;
            link.contactAt = now;
            link.dueAt = now;
        }
    }

    /** The number for a question to somebody; empty where only an address is known. */
    long ask(long now, String name) {
        asked.put(++numbers, new Asked(name, now));
        Link link = links.get(name);
        if (link != null) {
            // Unanswered, the next one comes after half a period.
            boolean silent = link.askedAt > link.contactAt;
            long wait = silent ? plan.periodMicros() / 2 : plan.periodMicros();
            link.dueAt = now + wait - random.nextLong(1 + wait / 8);
            link.askedAt = now;
        }
        return numbers;
    }

    /** An answer: when its question was asked, or -1 where it answers none of this process. */
    long answered(long number, String by) {
        Asked question = asked.remove(number);
        if (question == null) {
            return -1;
        }
        Link link = links.get(by);
        if (link != null && (question.name.isEmpty() || question.name.equals(by))) {
            link.contactAt = Math.max(link.contactAt, question.at);
        }
        return question.at;
    }

    /** Something came from it unasked: where its answers stay away, it is asked at once. */
    void heard(long now, String name) {
        Link link = links.get(name);
        if (link != null && now - link.contactAt > plan.periodMicros() * 2 && now - link.askedAt > plan.beatMicros()) {
            link.dueAt = Math.min(link.dueAt, now);
        }
    }

    /** Time in which this process slept counts against nobody, and all are asked at once. */
    void slept(long now, long micros) {
        for (Link link : links.values()) {
            link.contactAt = Math.min(now, link.contactAt + micros);
            link.dueAt = now;
        }
    }

    boolean inTouch(long now, String name) {
        Link link = links.get(name);
        return link != null && !link.lost && now - link.contactAt < plan.periodMicros() * 3;
    }

    /** Links whose state has changed: lost touch, or found it again. */
    List<Link> changed(long now) {
        List<Link> changed = new ArrayList<>();
        for (Link link : links.values()) {
            boolean lost = now - link.contactAt > plan.silenceMicros();
            if (lost != link.lost) {
                link.lost = lost;
                changed.add(link);
            }
        }
        return changed;
    }

    /** Questions that nobody will answer any more are forgotten. */
    void expire(long now) {
        asked.values().removeIf(a -> now - a.at > plan.silenceMicros());
    }
}
