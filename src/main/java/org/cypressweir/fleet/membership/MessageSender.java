package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.UpdateDisseminator.Updates;

/**
 * Composes messages of this process and sends them within two rate limits: one for probes and their responses, which
 * must not be crowded out, and one for everything else, including updates that are piggybacked on probes.
 */
final class MessageSender {

    private static final int PROBE_BYTES_PER_SECOND = 64_000;
    private static final int UPDATE_BYTES_PER_SECOND = 512_000;
    /** Upper bounds of the encoded size of a message without updates. */
    private static final int BASE_BYTES = 100;

    private static final int MAX_BYTES_PER_CHARACTER = 3;
    private static final int MAX_BYTES_PER_BUCKET = 6;

    private final MembershipContext context;
    private final ByteRateLimiter probeRateLimiter = new ByteRateLimiter(PROBE_BYTES_PER_SECOND);
    private final ByteRateLimiter updateRateLimiter = new ByteRateLimiter(UPDATE_BYTES_PER_SECOND);
    private long droppedMessages;

    MessageSender(MembershipContext context) {
        this.context = context;
    }

    /** Number of messages that were not sent because a rate limit was exceeded. */
    long droppedMessages() {
        return droppedMessages;
    }

    void send(long now, InetSocketAddress to, Kind kind, String name, long number, Updates updates) {
        send(now, to, message(kind, name, number, updates, List.of(), ""));
    }

    void sendRefusal(long now, Peer refused, String reason) {
        send(
                now,
                refused.address(),
                message(Kind.REFUSE, refused.name(), refused.processId(), Updates.NONE, List.of(), reason));
    }

    void sendComparison(long now, Peer to, long number) {
        Updates ownRecord = Updates.of(context.ownRecord());
        List<Integer> buckets = context.table.bucketDigests();
        send(now, to.address(), message(Kind.COMPARE, to.name(), number, ownRecord, buckets, ""));
    }

    private MembershipMessage message(
            Kind kind, String to, long number, Updates updates, List<Integer> buckets, String text) {
        return new MembershipMessage(
                kind,
                context.self,
                to,
                number,
                context.table.digest(),
                updates.records(),
                updates.reports(),
                buckets,
                text);
    }

    private void send(long now, InetSocketAddress to, MembershipMessage message) {
        int baseBytes = BASE_BYTES
                + MAX_BYTES_PER_CHARACTER * message.text().length()
                + MAX_BYTES_PER_BUCKET * message.buckets().size();
        int updateBytes = updateBytes(message);
        if (message.kind() == Kind.PING || message.kind() == Kind.ACK) {
            sendProbe(now, to, message, baseBytes, updateBytes);
        } else if (updateRateLimiter.tryAcquire(now, baseBytes + updateBytes)) {
            context.actions.send(to, message);
        } else {
            droppedMessages++;
        }
    }

    /** Sends a probe or its response, without its updates if these exceed their rate limit. */
    private void sendProbe(long now, InetSocketAddress to, MembershipMessage message, int baseBytes, int updateBytes) {
        if (!probeRateLimiter.tryAcquire(now, baseBytes)) {
            droppedMessages++;
            return;
        }
        boolean mayCarryUpdates = updateBytes == 0 || updateRateLimiter.tryAcquire(now, updateBytes);
        context.actions.send(to, mayCarryUpdates ? message : message.withoutUpdates());
    }

    private static int updateBytes(MembershipMessage message) {
        int bytes = 0;
        for (MemberRecord update : message.records()) {
            bytes += update.encodedSize();
        }
        for (FailureReport report : message.reports()) {
            bytes += report.encodedSize();
        }
        return bytes;
    }
}
