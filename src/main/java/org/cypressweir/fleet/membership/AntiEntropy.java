package org.cypressweir.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.UpdateDisseminator.Updates;

/**
 * Repairs differences between the tables of two members that remain although updates have been disseminated. Members
 * with different digests exchange the digests of their buckets, and then the records of the buckets that differ.
 */
final class AntiEntropy {

    /** Maximum number of messages with records in response to one comparison. */
    private static final int MAX_PAGES = 8;
    /** Values of {@code number} in a comparison: whether the receiver is to respond with its own digests. */
    private static final long EXPECTS_RESPONSE = 1;

    private static final long EXPECTS_NO_RESPONSE = 0;
    /** Periods after a change in which digests may differ because updates are still being disseminated. */
    private static final int DISSEMINATION_PERIODS = 2;

    /** Periods without an equal digest after which tables are compared even while they keep changing. */
    private static final int MAX_MISMATCH_PERIODS = 8;

    private final MembershipContext context;
    private final MessageSender sender;
    private long nextComparisonAt;
    /** When another member last had the same digest as this one. */
    private long lastMatchAt = Long.MIN_VALUE;

    AntiEntropy(MembershipContext context, MessageSender sender) {
        this.context = context;
        this.sender = sender;
    }

    /**
     * Starts a comparison if the digest of a sender differs, unless updates in progress explain the difference.
     *
     * @param isOutsideView whether the sender was not in the view when the message arrived
     */
    void compareDigest(long now, MembershipMessage message, boolean isOutsideView) {
        if (message.digest() == context.table.digest()) {
            lastMatchAt = now;
            return;
        }
        if (now >= nextComparisonAt && (isOutsideView || isDifferenceUnexpected(now))) {
            nextComparisonAt = now + 2 * context.options.tickMicros();
            sender.sendComparison(now, message.from(), EXPECTS_RESPONSE);
        }
    }

    private boolean isDifferenceUnexpected(long now) {
        long period = context.options.periodMicros();
        return lastMatchAt == Long.MIN_VALUE
                || now - context.tableChangedAt > DISSEMINATION_PERIODS * period
                || now - lastMatchAt > MAX_MISMATCH_PERIODS * period;
    }

    /**
     * Sends the records that the sender of a comparison may lack. As their number is limited, it starts at a random
     * bucket.
     */
    void receiveComparison(long now, MembershipMessage comparison) {
        Peer to = comparison.from();
        int firstBucket = context.random.nextInt(MembershipMessage.BUCKET_COUNT);
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
        if (comparison.number() == EXPECTS_RESPONSE) {
            sender.sendComparison(now, to, EXPECTS_NO_RESPONSE);
        }
    }

    private void sendPage(long now, Peer to, List<MemberRecord> page) {
        sender.send(now, to.address(), Kind.NEWS, to.name(), 0, new Updates(page, List.of()));
    }
}
