package org.cypressweir.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.UpdateDisseminator.Updates;

/**
 * Finds records that one of two members lacks although updates have been spread: members with different digests
 * exchange the digests of buckets, and then the records of the buckets that differ.
 */
final class AntiEntropy {

    /** Messages in response to one comparison, at most. */
    private static final int MAX_PAGES = 8;
    /** Numbers of a comparison: whether the receiver is to answer with its own digests. */
    private static final long WANTS_COMPARISON = 1;

    private static final long NO_COMPARISON = 0;
    /** For so long after a change the digests may differ because updates are still being spread. */
    private static final int SPREADING_PERIODS = 2;

    private static final int MAX_DIFFERENT_PERIODS = 8;

    private final MembershipContext context;
    private final MessageSender sender;
    private long nextComparisonAt;
    /** When another member had the same digest last. */
    private long agreedAt = Long.MIN_VALUE;

    AntiEntropy(MembershipContext context, MessageSender sender) {
        this.context = context;
        this.sender = sender;
    }

    /**
     * Starts a comparison if the sender of a message knows something else.
     *
     * @param isStranger whether the sender was not in the view before
     */
    void compareDigest(long now, MembershipMessage message, boolean isStranger) {
        if (message.digest() == context.table.digest()) {
            agreedAt = now;
            return;
        }
        if (now >= nextComparisonAt && (isStranger || isDifferenceUnexpected(now))) {
            nextComparisonAt = now + 2 * context.options.tickMicros();
            sender.sendComparison(now, message.from(), WANTS_COMPARISON);
        }
    }

    private boolean isDifferenceUnexpected(long now) {
        long period = context.options.periodMicros();
        return agreedAt == Long.MIN_VALUE
                || now - context.changedAt > SPREADING_PERIODS * period
                || now - agreedAt > MAX_DIFFERENT_PERIODS * period;
    }

    /** Sends the records that the sender of a comparison may lack. */
    void receiveComparison(long now, MembershipMessage comparison) {
        Peer to = comparison.from();
        int firstBucket = context.random.nextInt(MembershipMessage.BUCKETS);
        List<MemberRecord> page = new ArrayList<>();
        int freeBytes = MembershipMessage.MAX_UPDATE_BYTES;
        int sentPages = 0;
        for (MemberRecord different : context.table.recordsOfDifferentBuckets(comparison.buckets(), firstBucket)) {
            if (different.encodedSize() > freeBytes) {
                sendPage(now, to, page);
                page = new ArrayList<>();
                freeBytes = MembershipMessage.MAX_UPDATE_BYTES;
                sentPages++;
                if (sentPages == MAX_PAGES) {
                    break;
                }
            }
            freeBytes -= different.encodedSize();
            page.add(context.table.withAge(now, different));
        }
        if (!page.isEmpty()) {
            sendPage(now, to, page);
        }
        if (comparison.number() == WANTS_COMPARISON) {
            sender.sendComparison(now, to, NO_COMPARISON);
        }
    }

    private void sendPage(long now, Peer to, List<MemberRecord> page) {
        sender.send(now, to.address(), Kind.NEWS, to.name(), 0, new Updates(page, List.of()));
    }
}
