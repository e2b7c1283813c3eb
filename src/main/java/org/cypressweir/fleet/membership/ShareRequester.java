package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.ShareVoter.Grant;

/**
 * One process's part of what all share, by messages: it asks all electors again and again, and answers where
 * it is one of them itself. Answers to an earlier life of this process, and to what was asked long ago, say
 * nothing here: each question has a number, whose beginning is drawn anew by each life.
 */
public final class ShareRequester {

    /** Questions whose answers may still come; an older one has no hold left. */
    private static final int ROUNDS = 8;
    /** Lives that an elector counts for each process that may run: restarts in a row are counted apart. */
    private static final int LIVES = 4;

    private final ShareOptions plan;
    private final InetSocketAddress own;
    private final ShareRequest claim;
    /** Null where this process is none. */
    private final ShareVoter elector;

    private final BiConsumer<InetSocketAddress, MembershipMessage> out;
    private final long[] askedAt = new long[ROUNDS];
    private final long firstNumber;
    private long rounds;
    private long askAt;

    /**
     * @param own address that others know this process by
     * @param first number of the first question, drawn anew by each life
     */
    public ShareRequester(
            long now,
            ShareOptions plan,
            InetSocketAddress own,
            long first,
            BiConsumer<InetSocketAddress, MembershipMessage> out) {
        this.plan = plan;
        this.own = own;
        this.out = out;
        firstNumber = first;
        askAt = now;
        claim = new ShareRequest(plan.electors().size(), plan.holdMicros(), plan.lingerMicros(), plan.most());
        elector = plan.electors().contains(own) ? new ShareVoter(now, plan.releaseMicros(), LIVES * plan.most()) : null;
    }

    public ShareOptions plan() {
        return plan;
    }

    /** To be called each beat. */
    public void tick(long now, Peer self) {
        if (now < askAt) {
            return;
        }
        askAt = now + claim.everyMicros();
        askedAt[(int) (rounds % ROUNDS)] = now;
        long number = firstNumber + rounds++;
        for (int e = 0; e < plan.electors().size(); e++) {
            if (plan.electors().get(e).equals(own)) {
                granted(now, e, now, elector.ask(now, key(self)));
            } else {
                out.accept(plan.electors().get(e), message(Kind.COUNT, self, "", number, 0, List.of()));
            }
        }
    }

    private void granted(long now, int from, long asked, Grant grant) {
        if (grant != null) {
            claim.granted(now, from, asked, grant);
        }
    }

    private static MembershipMessage message(
            Kind kind, Peer self, String to, long number, long digest, List<Integer> count) {
        return new MembershipMessage(kind, self, to, number, digest, List.of(), List.of(), count, "");
    }

    /** Two lives of one name are two: what the one had open may still be. */
    private static String key(Peer peer) {
        return peer.name() + '/' + Long.toHexString(peer.processId());
    }

    /** A question or an answer about parts. */
    public void receive(long now, MembershipMessage m, Peer self) {
        if (m.kind() == Kind.COUNT && elector != null) {
            Grant grant = elector.ask(now, key(m.from()));
            if (grant != null) {
                out.accept(
                        m.from().address(),
                        message(
                                Kind.COUNTED,
                                self,
                                m.from().name(),
                                m.number(),
                                grant.digest(),
                                List.of(grant.count())));
            }
        } else if (m.kind() == Kind.COUNTED
                && m.to().equals(self.name())
                && m.buckets().size() == 1) {
            int from = plan.electors().indexOf(m.from().address());
            long round = m.number() - firstNumber;
            if (from >= 0
                    && round >= 0
                    && round < rounds
                    && round >= rounds - ROUNDS
                    && m.buckets().get(0) > 0) {
                granted(
                        now,
                        from,
                        askedAt[(int) (round % ROUNDS)],
                        new Grant(m.buckets().get(0), m.digest()));
            }
        }
    }

    /** The part of the whole, 0 to 1, that this process may use at this moment. */
    public double part(long now) {
        return claim.part(now);
    }

    /** Whether that is more than the floor. */
    public boolean claims(long now) {
        return claim.claims(now);
    }

    /** Processes to count with: those that share, or as many as there may ever be. */
    public int count(long now) {
        return claim.claims(now) ? claim.count(now) : plan.most();
    }
}
