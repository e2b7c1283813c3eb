package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.fleet.membership.Lending;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.Peer;
import org.junit.jupiter.api.Test;

/** Lists that members lend to one that has just started, in made-up time. */
class LendingTest {

    private static final long SECOND = 1_000_000;
    private static final int PAGES = 40;

    private final List<One> all = new ArrayList<>();
    private SimulatedNetwork<MembershipMessage> net;

    /** A process with a list whose pages say which revision and place they are of. */
    private final class One implements SimulatedNetwork.Process<MembershipMessage>, Lending.EndpointListSource {
        final List<Lending.Loan> loans = new ArrayList<>();
        final int place = net.place();
        final Peer self = new Peer("n" + place, place, 1, 1, MembershipSimulation.address(place));
        final Lending lending = new Lending(
                place,
                this,
                (to, m) -> net.send(
                        place, to.getPort() - MembershipSimulation.address(0).getPort(), m),
                loan -> {
                    loans.add(loan);
                    take(loan);
                });
        long revision;
        long toldAt;
        int pages = PAGES;

        One(long revision) {
            this.revision = revision;
            all.add(this);
            net.start(place, 50_000, this);
        }

        void take(Lending.Loan loan) {
            revision = loan.revision();
        }

        @Override
        public void tick(long now) {
            lending.tick(
                    now,
                    self,
                    () -> all.stream().filter(o -> o != this).map(o -> o.self).toList());
        }

        @Override
        public void receive(long now, MembershipMessage m) {
            lending.receive(now, m, self);
        }

        @Override
        public long revision() {
            return revision;
        }

        @Override
        public long known() {
            return revision;
        }

        @Override
        public long ageMicros() {
            return net.now() - toldAt;
        }

        @Override
        public int pages() {
            return pages;
        }

        @Override
        public byte[] page(int number) {
            return new byte[] {(byte) revision, (byte) number};
        }
    }

    private One starter(long known) {
        One starter = new One(known);
        starter.lending.seek(known);
        return starter;
    }

    private void run(long micros) {
        net.run(net.now() + micros);
    }

    private static void whole(Lending.Loan loan, long revision, int pages) {
        assertEquals(revision, loan.revision());
        assertEquals(pages, loan.pages().size());
        for (int i = 0; i < pages; i++) {
            assertEquals(revision, loan.pages().get(i)[0], "page " + i);
            assertEquals(i, loan.pages().get(i)[1]);
        }
    }

    @Test
    void theNewestOfThoseAskedIsTakenWholeThroughLoss() {
        long drawn = System.nanoTime() & 0xFFFFF;
        for (long seed : new long[] {1, 2, 3, 4, 5, drawn}) {
            all.clear();
            net = new SimulatedNetwork<>(seed);
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < 9; i++) {
                new One(3 + random.nextInt(4));
            }
            new One(8);
            run(5 * SECOND);
            One starter = starter(2);
            net.weather(SimulatedNetwork.Weather.losing(0.2));
            run(20 * SECOND);
            assertTrue(!starter.loans.isEmpty(), "nothing came, seed " + seed);
            whole(starter.loans.get(starter.loans.size() - 1), 8, PAGES);
            assertTrue(starter.loans.get(0).ageMicros() >= 5 * SECOND, "seed " + seed);
        }
    }

    @Test
    void aLenderThatDiesOrMovesOnHalfwayIsReplacedAndPagesAreNotMixed() {
        net = new SimulatedNetwork<>(1);
        One best = new One(9);
        best.pages = 4_000;
        One next = new One(7);
        One starter = starter(1);
        run(600_000);
        assertEquals(0, starter.loans.size(), "it is under way");
        net.kill(best.place);
        run(4 * SECOND);
        assertEquals(1, starter.loans.size());
        whole(starter.loans.get(0), 7, PAGES);
        // The lender hears of a newer one while its pages are on their way: all of them are the newer one's.
        next.pages = 100;
        next.revision = 20;
        net.weather(new SimulatedNetwork.Weather(0, 0, 0, 0, 50_000, 100_000));
        assertTrue(awaitPages(starter), "a second list began");
        next.revision = 21;
        run(20 * SECOND);
        whole(starter.loans.get(1), 21, 100);
        assertEquals(2, starter.loans.size(), "what is not newer is left alone");
    }

    /** Until the second list is half here. */
    private boolean awaitPages(One starter) {
        long sent = net.sent(starter.place);
        for (long until = net.now() + 30 * SECOND; net.now() < until; ) {
            run(10_000);
            if (net.sent(starter.place) > sent + 40) {
                return starter.loans.size() == 1;
            }
        }
        return false;
    }

    @Test
    void whoeverHeardFromDiscoveryAsksNoMoreAndOlderListsAreOfNoUse() {
        net = new SimulatedNetwork<>(1);
        new One(4);
        One starter = starter(4);
        run(5 * SECOND);
        assertEquals(0, starter.loans.size());
        assertTrue(net.sent(starter.place) > 0, "it asked");
        starter.lending.end();
        long sent = net.sent(starter.place);
        run(30 * SECOND);
        assertEquals(sent, net.sent(starter.place));
    }

    @Test
    void aListOfNoServersIsOneTooAndOneThatIsTooLargeIsNot() {
        net = new SimulatedNetwork<>(1);
        One empty = new One(5);
        empty.pages = 0;
        One huge = new One(6);
        huge.pages = 1_000_000;
        One starter = starter(1);
        run(3 * SECOND);
        assertEquals(1, starter.loans.size());
        whole(starter.loans.get(0), 5, 0);
    }
}
