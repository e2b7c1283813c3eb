package org.cypressweir.fleet.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Spreads news: each goes once to all neighbours, but for the one that it came from, and rides on whatever
 * else is sent for a while, since either may be lost.
 */
final class UpdateDisseminator {

    /** An entry or a report, and who told it; empty for this process itself. */
    private static final class PendingUpdate {
        final MemberRecord entry;
        final FailureReport report;
        final String from;
        final long until;
        boolean pushed;
        /** Something newer on the same has come. */
        boolean old;

        PendingUpdate(MemberRecord entry, FailureReport report, String from, long until) {
            this.entry = entry;
            this.report = report;
            this.from = from;
            this.until = until;
        }

        int size() {
            return entry == null ? report.size() : entry.size();
        }
    }

    /** What goes into one message. */
    record Load(List<MemberRecord> entries, List<FailureReport> reports) {
        static final Load NONE = new Load(List.of(), List.of());

        boolean isEmpty() {
            return entries.isEmpty() && reports.isEmpty();
        }
    }

    /** Kept at most; past it the oldest are left to comparisons. */
    private static final int MOST = 4_096;

    private final ArrayDeque<PendingUpdate> news = new ArrayDeque<>();
    private final Map<String, PendingUpdate> latest = new HashMap<>();
    private boolean fresh;

    void tell(MemberRecord entry, String from, long until) {
        add(entry.name(), new PendingUpdate(entry, null, from, until));
    }

    void tell(FailureReport report, String from, long until) {
        add(report.reporter() + ' ' + report.about(), new PendingUpdate(null, report, from, until));
    }

    private void add(String on, PendingUpdate one) {
        PendingUpdate before = latest.put(on, one);
        if (before != null) {
            before.old = true;
        }
        news.addLast(one);
        fresh = true;
        if (news.size() > MOST) {
            news.pollFirst();
        }
    }

    /** Whether there is something that has not gone to the neighbours yet. */
    boolean hasFresh() {
        return fresh;
    }

    /** What has not been pushed to this neighbour, in as many loads as it takes. */
    List<Load> push(long now, MemberTable roster, String to) {
        List<Load> loads = new ArrayList<>();
        List<MemberRecord> entries = new ArrayList<>();
        List<FailureReport> reports = new ArrayList<>();
        int room = MembershipMessage.ROOM;
        for (PendingUpdate n : news) {
            if (n.pushed || n.old || n.from.equals(to)) {
                continue;
            }
            if (n.size() > room) {
                loads.add(new Load(entries, reports));
                entries = new ArrayList<>();
                reports = new ArrayList<>();
                room = MembershipMessage.ROOM;
            }
            room -= n.size();
            add(now, roster, n, entries, reports);
        }
        if (!entries.isEmpty() || !reports.isEmpty()) {
            loads.add(new Load(entries, reports));
        }
        return loads;
    }

    void pushed(long now) {
        fresh = false;
        news.forEach(n -> n.pushed = true);
        expire(now);
    }

    void expire(long now) {
        if (!news.isEmpty()) {
            news.removeIf(n -> n.old || n.pushed && now > n.until);
            latest.values().removeIf(n -> n.pushed && now > n.until);
        }
    }

    /** The newest of what is still fresh, as much as fits. */
    Load ride(long now, MemberTable roster, String to) {
        if (news.isEmpty()) {
            return Load.NONE;
        }
        List<MemberRecord> entries = new ArrayList<>();
        List<FailureReport> reports = new ArrayList<>();
        int room = MembershipMessage.RIDE;
        for (Iterator<PendingUpdate> i = news.descendingIterator(); i.hasNext(); ) {
            PendingUpdate n = i.next();
            if (!n.old && !n.from.equals(to) && n.size() <= room && now <= n.until) {
                room -= n.size();
                add(now, roster, n, entries, reports);
            }
        }
        return new Load(entries, reports);
    }

    private static void add(
            long now, MemberTable roster, PendingUpdate n, List<MemberRecord> entries, List<FailureReport> reports) {
        if (n.entry != null) {
            entries.add(roster.told(now, n.entry));
        } else {
            reports.add(n.report);
        }
    }
}
