package org.cypressweir.fleet.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Disseminates updates: each is sent once to all monitored peers except the one that it came from, and is piggybacked
 * on other messages for some time, since messages may be lost.
 */
final class UpdateDisseminator {

    /** Maximum number of pending updates; beyond it the oldest are dropped and left to {@link AntiEntropy}. */
    private static final int MAX_PENDING = 4_096;

    /** A member record or a failure report that is being disseminated. */
    private static final class PendingUpdate {
        /** Null if the update is a report. */
        final MemberRecord memberRecord;

        /** Null if the update is a member record. */
        final FailureReport report;
        /** The member that sent it; empty if it originates in this process. */
        final String from;

        final long piggybackUntil;
        boolean isSent;
        boolean isSuperseded;

        PendingUpdate(MemberRecord memberRecord, FailureReport report, String from, long piggybackUntil) {
            this.memberRecord = memberRecord;
            this.report = report;
            this.from = from;
            this.piggybackUntil = piggybackUntil;
        }

        int encodedSize() {
            return memberRecord == null ? report.encodedSize() : memberRecord.encodedSize();
        }
    }

    /** The updates in one message. */
    record Updates(List<MemberRecord> records, List<FailureReport> reports) {
        static final Updates NONE = new Updates(List.of(), List.of());

        static Updates of(MemberRecord single) {
            return new Updates(List.of(single), List.of());
        }

        private static Updates empty() {
            return new Updates(new ArrayList<>(), new ArrayList<>());
        }

        private boolean isEmpty() {
            return records.isEmpty() && reports.isEmpty();
        }

        private void add(long now, MemberTable table, PendingUpdate update) {
            if (update.memberRecord != null) {
                records.add(table.withAge(now, update.memberRecord));
            } else {
                reports.add(update.report);
            }
        }
    }

    private final ArrayDeque<PendingUpdate> pending = new ArrayDeque<>();
    /** The latest update by its subject: the name of a member, or the reporter and the subject of a report. */
    private final Map<String, PendingUpdate> latest = new HashMap<>();

    private boolean hasUnsent;

    void add(MemberRecord memberRecord, String from, long piggybackUntil) {
        add(memberRecord.name(), new PendingUpdate(memberRecord, null, from, piggybackUntil));
    }

    void add(FailureReport report, String from, long piggybackUntil) {
        String key = report.reporter() + ' ' + report.subject();
        add(key, new PendingUpdate(null, report, from, piggybackUntil));
    }

    private void add(String key, PendingUpdate update) {
        PendingUpdate superseded = latest.put(key, update);
        if (superseded != null) {
            superseded.isSuperseded = true;
        }
        pending.addLast(update);
        hasUnsent = true;
        if (pending.size() > MAX_PENDING) {
            pending.pollFirst();
        }
    }

    /** Whether there are updates that have not been sent to the monitored peers. */
    boolean hasUnsent() {
        return hasUnsent;
    }

    /** The updates to be sent to this peer that have not been sent yet, one element for each message. */
    List<Updates> unsentFor(long now, MemberTable table, String peer) {
        List<Updates> messages = new ArrayList<>();
        Updates current = Updates.empty();
        int freeBytes = MembershipMessage.MAX_UPDATE_BYTES;
        for (PendingUpdate update : pending) {
            if (update.isSent || update.isSuperseded || update.from.equals(peer)) {
                continue;
            }
            if (update.encodedSize() > freeBytes) {
                messages.add(current);
                current = Updates.empty();
                freeBytes = MembershipMessage.MAX_UPDATE_BYTES;
            }
            freeBytes -= update.encodedSize();
            current.add(now, table, update);
        }
        if (!current.isEmpty()) {
            messages.add(current);
        }
        return messages;
    }

    /** Marks all updates as sent to the monitored peers. */
    void markSent(long now) {
        hasUnsent = false;
        pending.forEach(update -> update.isSent = true);
        expire(now);
    }

    void expire(long now) {
        if (!pending.isEmpty()) {
            pending.removeIf(update -> update.isSuperseded || isExpired(now, update));
            latest.values().removeIf(update -> isExpired(now, update));
        }
    }

    private static boolean isExpired(long now, PendingUpdate update) {
        return update.isSent && now > update.piggybackUntil;
    }

    /** The newest updates for a message to this peer, as many as fit. */
    Updates piggyback(long now, MemberTable table, String peer) {
        if (pending.isEmpty()) {
            return Updates.NONE;
        }
        Updates updates = Updates.empty();
        int freeBytes = MembershipMessage.MAX_PIGGYBACK_BYTES;
        for (Iterator<PendingUpdate> newest = pending.descendingIterator(); newest.hasNext(); ) {
            PendingUpdate update = newest.next();
            boolean isCurrent = !update.isSuperseded && now <= update.piggybackUntil;
            if (isCurrent && !update.from.equals(peer) && update.encodedSize() <= freeBytes) {
                freeBytes -= update.encodedSize();
                updates.add(now, table, update);
            }
        }
        return updates;
    }
}
