package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.ShareVoter.Grant;

/**
 * Obtains one process's share through messages: it sends requests to all voters regularly, and responds to the requests
 * of others if it is a voter itself. Request numbers start at a random number in each run of the process, so that
 * responses to an earlier run, or to old requests, are recognized and dropped.
 */
public final class ShareRequester {

    /** Number of the latest requests whose responses are accepted; the hold time of an older one has ended. */
    private static final int OPEN_REQUESTS = 8;
    /**
     * Number of runs that a voter counts for each process that may run, since each restart counts as another process.
     */
    private static final int COUNTED_RUNS = 4;

    private final ShareOptions options;
    private final InetSocketAddress ownAddress;
    private final ShareClaim share;
    /** Null if this process is not a voter. */
    private final ShareVoter voter;

    private final BiConsumer<InetSocketAddress, MembershipMessage> sender;
    private final long[] sentAt = new long[OPEN_REQUESTS];
    private final long firstNumber;
    private long sentRequests;
    private long nextRequestAt;

    /**
     * @param ownAddress address by which others know this process
     * @param firstNumber number of the first request, random in each run
     */
    public ShareRequester(
            long now,
            ShareOptions options,
            InetSocketAddress ownAddress,
            long firstNumber,
            BiConsumer<InetSocketAddress, MembershipMessage> sender) {
        this.options = options;
        this.ownAddress = ownAddress;
        this.sender = sender;
        this.firstNumber = firstNumber;
        nextRequestAt = now;
        List<InetSocketAddress> voters = options.voters();
        int maxProcesses = options.maxProcesses();
        share = new ShareClaim(voters.size(), options.holdMicros(), options.lingerMicros(), maxProcesses);
        voter = voters.contains(ownAddress)
                ? new ShareVoter(now, options.releaseMicros(), COUNTED_RUNS * maxProcesses)
                : null;
    }

    /** Sends requests when they are due; must be called regularly. */
    public void tick(long now, Peer self) {
        if (now < nextRequestAt) {
            return;
        }
        nextRequestAt = now + share.requestIntervalMicros();
        sentAt[(int) (sentRequests % OPEN_REQUESTS)] = now;
        long number = firstNumber + sentRequests;
        sentRequests++;
        List<InetSocketAddress> voters = options.voters();
        for (int index = 0; index < voters.size(); index++) {
            InetSocketAddress address = voters.get(index);
            if (address.equals(ownAddress)) {
                receiveGrant(now, index, now, voter.count(now, processKey(self)));
            } else {
                sender.accept(address, message(Kind.COUNT, self, "", number, 0, List.of()));
            }
        }
    }

    private void receiveGrant(long now, int voterIndex, long requestSentAt, Grant grant) {
        if (grant != null) {
            share.receiveGrant(now, voterIndex, requestSentAt, grant);
        }
    }

    private static MembershipMessage message(
            Kind kind, Peer self, String to, long number, long digest, List<Integer> count) {
        return new MembershipMessage(kind, self, to, number, digest, List.of(), List.of(), count, "");
    }

    /**
     * Key under which a run of a process is counted. Two runs count as two processes, since what the earlier one had
     * open may still be open.
     */
    private static String processKey(Peer peer) {
        return peer.name() + '/' + Long.toHexString(peer.processId());
    }

    /** Handles a request or a response about shares. */
    public void receive(long now, MembershipMessage message, Peer self) {
        if (message.kind() == Kind.COUNT && voter != null) {
            receiveRequest(now, message, self);
        } else if (message.kind() == Kind.COUNTED) {
            receiveResponse(now, message, self);
        }
    }

    private void receiveRequest(long now, MembershipMessage request, Peer self) {
        Peer from = request.from();
        Grant grant = voter.count(now, processKey(from));
        if (grant != null) {
            List<Integer> count = List.of(grant.count());
            MembershipMessage response =
                    message(Kind.COUNTED, self, from.name(), request.number(), grant.digest(), count);
            sender.accept(from.address(), response);
        }
    }

    private void receiveResponse(long now, MembershipMessage response, Peer self) {
        if (!response.to().equals(self.name()) || response.buckets().size() != 1) {
            return;
        }
        int voterIndex = options.voters().indexOf(response.from().address());
        long request = response.number() - firstNumber;
        boolean isOpen = request >= 0 && request < sentRequests && request >= sentRequests - OPEN_REQUESTS;
        int count = response.buckets().get(0);
        if (voterIndex >= 0 && isOpen && count > 0) {
            long requestSentAt = sentAt[(int) (request % OPEN_REQUESTS)];
            receiveGrant(now, voterIndex, requestSentAt, new Grant(count, response.digest()));
        }
    }

    /** The fraction of the whole, 0 to 1, that this process may use at this moment. */
    public double fraction(long now) {
        return share.fraction(now);
    }

    /** Whether this process has more than the minimum at this moment. */
    public boolean hasClaim(long now) {
        return share.hasClaim(now);
    }

    /** Number of processes to assume: those that share the limit, or the maximum while this process has no claim. */
    public int processCount(long now) {
        return share.hasClaim(now) ? share.processCount(now) : options.maxProcesses();
    }
}
